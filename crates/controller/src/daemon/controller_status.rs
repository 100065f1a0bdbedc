use jasmine_core::ids::{Epoch, Revision};

/// Status of this controller as reported to peers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerStatus {
    /// Current configuration revision.
    pub revision: Revision,
    /// Revision that the gateway on this VM uses, zero when it has none.
    pub gateway_revision: Revision,
    /// Current epoch of rights of this controller.
    pub epoch: Epoch,
    /// Whether the store replied recently.
    pub store_up: bool,
    /// Number of engines owned by this controller.
    pub owned: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
}
