use std::net::SocketAddr;

/// Another VM that may send requests for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// The address on which it takes such requests.
    pub address: SocketAddr,
    /// Whether it is in this VM's data centre.
    pub is_local: bool,
}
