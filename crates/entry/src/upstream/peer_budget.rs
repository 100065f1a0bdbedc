use {
    super::{ReadBudget, ReadCharge},
    std::net::SocketAddr,
};

/// The budget for the answers of one peer.
#[derive(Debug)]
pub(super) struct PeerBudget {
    pub peer: SocketAddr,
    pub budget: ReadBudget,
}

impl PeerBudget {
    /// A charge for no bytes yet.
    pub fn charge(&self) -> ReadCharge {
        self.budget.charge(self.peer)
    }
}
