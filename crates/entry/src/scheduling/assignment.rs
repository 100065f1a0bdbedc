use {jasmine_core::scheduler::WaitReason, std::net::SocketAddr};

/// The upstream that a request may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The upstream's id.
    pub upstream: String,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The adapter version required to run it, if an operator announced one.
    pub version: Option<u32>,
    /// The version of the upstream's software, if its entry has been read.
    pub build: Option<String>,
    /// What the request waited for longest.
    pub waited_for: WaitReason,
}
