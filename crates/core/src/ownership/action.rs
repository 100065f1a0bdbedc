use crate::{
    clock::Millis,
    ids::{Fence, Holder, UpstreamId},
    placement::Instance,
};

/// The reply to a gateway's acquire request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The gateway may route to this instance until it is recalled.
    Granted {
        /// The adapter copy on the engine that may be used.
        instance: Instance,
        /// The fencing token of the owner that grants it.
        owner: Fence,
    },
    /// The load is in progress; the gateway should request again.
    Loading,
    /// No slot can be freed; try another engine, and this one again after this delay.
    Full(Millis),
    /// The load has failed; the next attempt is due after this delay.
    LoadFailed(Millis),
    /// This controller does not own the engine.
    NotOwner,
}

/// An action requested by an [`super::OwnerMachine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Order the engine to load an instance.
    OrderLoad {
        /// The adapter copy to load, with its engine.
        instance: Instance,
        /// Fencing token sent with the order; the engine refuses older ones.
        fence: Fence,
    },
    /// Order the engine to unload an instance.
    OrderUnload {
        /// The adapter copy to unload, with its engine.
        instance: Instance,
        /// Fencing token sent with the order; the engine refuses older ones.
        fence: Fence,
    },
    /// Tell the engine to refuse older fencing tokens.
    RaiseFence {
        /// The engine that is told.
        upstream: UpstreamId,
        /// The lowest fencing token that the engine may still accept.
        fence: Fence,
    },
    /// Obtain a newer fencing token for the engine, since a name under this one can't be reused.
    RenewFence(UpstreamId),
    /// Request budget for this many more loads from the weight store's rate limit.
    RequestBudget(u32),
    /// Reply to a gateway's acquire request.
    Reply {
        /// The gateway that sent the request.
        to: Holder,
        /// Id that the gateway gave the acquire request.
        ask: u64,
        /// Whether the adapter is granted, loading or unavailable.
        outcome: AcquireOutcome,
    },
    /// Ask a gateway to release an instance; also in [`super::OwnerMachine::recalls`].
    Recall {
        /// The gateway that holds a grant for the instance.
        holder: Holder,
        /// The adapter copy whose grant is recalled.
        instance: Instance,
    },
}
