use {
    super::{Ticket, WaitReason},
    crate::{
        error::Refusal,
        ids::{AdapterVersion, ModelId, UpstreamId},
    },
};

/// An order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load an adapter.
    Load {
        /// Its base model.
        model: ModelId,
        /// The adapter and its expected version.
        adapter: AdapterVersion,
        /// Whether exactly this version is required; otherwise the engine loads the newest.
        announced: bool,
    },
    /// Unload an unused adapter.
    Unload {
        /// Its base model.
        model: ModelId,
        /// The adapter and its version.
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
        /// The request's attempt.
        ticket: Ticket,
        /// The chosen upstream.
        upstream: UpstreamId,
        /// The required adapter version, if an operator has announced one.
        version: Option<u32>,
        /// The reason that it waited for longest.
        waited_for: WaitReason,
    },
    /// Reject the request; it has not run.
    Refuse {
        /// The request's attempt.
        ticket: Ticket,
        /// The error, and when to retry.
        refusal: Refusal,
        /// The reason that it waited for longest.
        waited_for: WaitReason,
    },
    /// Send an order to an engine, which must reject it unless its sequence number is `after_seq`.
    Order {
        /// The target engine.
        upstream: UpstreamId,
        /// The order.
        order: Order,
        /// Number of orders that the engine has accepted so far.
        after_seq: u64,
    },
    /// Request a status report from an engine.
    RequestReport {
        /// The engine.
        upstream: UpstreamId,
    },
}
