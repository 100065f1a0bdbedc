use {
    super::{AttemptId, WaitReason},
    crate::{
        error::Refusal,
        ids::{AdapterVersion, ModelId, UpstreamId},
    },
};

/// A load or unload that the scheduler tells an engine to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load an adapter.
    Load {
        /// Base model that the adapter extends.
        model: ModelId,
        /// The adapter and its expected version.
        adapter: AdapterVersion,
        /// Whether exactly this version is required; otherwise the engine loads the newest.
        announced: bool,
    },
    /// Unload an unused adapter.
    Unload {
        /// Base model that the adapter extends.
        model: ModelId,
        /// Adapter version to unload.
        adapter: AdapterVersion,
    },
    /// Load a base model.
    LoadModel(ModelId),
}

/// What the caller of the scheduler has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Send the request to this upstream.
    Assign {
        /// Identifies the attempt on the forwarding VM.
        attempt_id: AttemptId,
        /// Upstream to forward the request to.
        upstream: UpstreamId,
        /// The required adapter version, if an operator has announced one.
        version: Option<u32>,
        /// The reason that it waited for longest.
        waited_for: WaitReason,
    },
    /// Reject the request; it has not run.
    Refuse {
        /// Identifies the attempt on the forwarding VM.
        attempt_id: AttemptId,
        /// Error for the caller, with the time after which to retry.
        refusal: Refusal,
        /// The reason that it waited for longest.
        waited_for: WaitReason,
    },
    /// Send an order to an engine, which must reject it unless its sequence number is `after_seq`.
    Order {
        /// Engine that must carry out the order.
        upstream: UpstreamId,
        /// What the engine has to load or unload.
        order: Order,
        /// Number of orders that the engine has accepted so far.
        after_seq: u64,
    },
    /// Request a status report from an engine.
    RequestReport {
        /// Engine whose report is requested.
        upstream: UpstreamId,
    },
}
