use crate::{
    ids::{Fence, UpstreamId},
    placement::Instance,
};

/// The state of an engine as last reported by its owner; it lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub upstream: UpstreamId,
    /// The owner's fencing token.
    pub owner_fence: Fence,
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub waiting: u32,
    /// Free adapter slots.
    pub free_slots: u32,
    /// Whether the engine responds to its owner.
    pub healthy: bool,
    /// Changes when the engine restarts.
    pub boot: u64,
    /// The instances that its owner can grant.
    pub resident: Vec<Instance>,
}
