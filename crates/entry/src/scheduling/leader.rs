use {jasmine_core::ids::Fence, std::net::SocketAddr};

/// The VM that schedules the requests of all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Name of the VM.
    pub vm: String,
    /// Address for calls from other entry VMs.
    pub address: SocketAddr,
    /// Fencing token; higher for each later election.
    pub fence: Fence,
    /// Whether it is stopping, so that another VM may take over at once.
    pub is_leaving: bool,
}
