use crate::{
    ids::{Fence, UpstreamId},
    placement::Instance,
};

/// The state of an engine as last reported by its owner, the VM that controls it; may be stale.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine that is described.
    pub upstream: UpstreamId,
    /// Fencing token of the owner that sent this view.
    pub owner_fence: Fence,
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub waiting: u32,
    /// Free adapter slots.
    pub free_slots: u32,
    /// Whether the engine responds to its owner.
    pub healthy: bool,
    /// Boot id of the engine; changes when the engine restarts.
    pub boot: u64,
    /// The instances that its owner can grant.
    pub resident: Vec<Instance>,
}
