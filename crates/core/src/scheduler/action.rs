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
    /// Load an adapter; `announced` where exactly this version is meant, else the newest.
    Load {
        /// Its base model.
        model: ModelId,
        /// The adapter and the version expected.
        adapter: AdapterVersion,
        /// Whether an operator has named this version.
        announced: bool,
    },
    /// Drop an adapter that nothing uses.
    Unload {
        /// Its base model.
        model: ModelId,
        /// The adapter.
        adapter: AdapterVersion,
    },
    /// Load a base model.
    LoadModel(ModelId),
}

/// What the scheduler's shell is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerAction {
    /// Let the request go to this upstream now.
    Assign {
        /// The request.
        ticket: Ticket,
        /// The upstream.
        upstream: UpstreamId,
        /// The adapter's version that may run it, where an operator has named one.
        version: Option<u32>,
        /// What it waited for longest.
        waited_for: WaitReason,
    },
    /// Answer the request with a refusal: it has not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why, and when to come back.
        refusal: Refusal,
        /// What it waited for longest.
        waited_for: WaitReason,
    },
    /// Give an engine an order, void unless the engine has accepted exactly `after_seq` before.
    Order {
        /// The engine.
        upstream: UpstreamId,
        /// The order.
        order: Order,
        /// Orders that the engine has accepted so far.
        after_seq: u64,
    },
    /// Ask an engine what it holds.
    AskReport {
        /// The engine.
        upstream: UpstreamId,
    },
}
