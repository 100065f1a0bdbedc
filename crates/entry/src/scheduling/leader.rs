use {jasmine_core::ids::Fence, std::net::SocketAddr};

/// The VM that schedules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Its name.
    pub vm: String,
    /// Where other daemons reach it.
    pub address: SocketAddr,
    /// Its fencing token; one that is elected later has a higher one.
    pub fence: Fence,
    /// Whether it is about to stop: another one may take its place at once.
    pub is_leaving: bool,
}
