use jasmine_core::ids::{Epoch, Revision};

/// How far this controller is, as peers and operators are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerStatus {
    /// The revision in force here.
    pub revision: Revision,
    /// The revision in force at the gateway beside it, zero when it has none.
    pub gateway_revision: Revision,
    /// The epoch of rights that this controller is in.
    pub epoch: Epoch,
    /// Whether the store has answered lately.
    pub store_up: bool,
    /// Engines that it owns.
    pub owned: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}
