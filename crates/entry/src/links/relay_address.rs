use std::net::SocketAddr;

/// Where another VM takes requests for upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayAddress {
    /// Its address.
    pub address: SocketAddr,
    /// The data centre of the VM.
    pub data_centre: String,
}
