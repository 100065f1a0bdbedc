use crate::{
    clock::Millis,
    ids::{Fence, Holder, UpstreamId},
    placement::Instance,
};

/// The answer to a gateway's question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireOutcome {
    /// The gateway may route to this instance until it is recalled.
    Granted {
        /// The instance.
        instance: Instance,
        /// The fencing token of the owner that grants it.
        owner: Fence,
    },
    /// The load is under way; ask again.
    Loading,
    /// No slot can be freed for it; try another engine, and this one again after the time.
    Full(Millis),
    /// Its load has failed; the next attempt is due after this time.
    LoadFailed(Millis),
    /// This controller may not decide for that engine.
    NotOwner,
}

/// What an [`super::OwnerMachine`] wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerAction {
    /// Tell the engine to load.
    OrderLoad {
        /// What.
        instance: Instance,
        /// The order's fencing token.
        fence: Fence,
    },
    /// Tell the engine to unload.
    OrderUnload {
        /// What.
        instance: Instance,
        /// The order's fencing token.
        fence: Fence,
    },
    /// Tell the engine to refuse older fencing tokens.
    RaiseFence {
        /// The engine.
        upstream: UpstreamId,
        /// The token.
        fence: Fence,
    },
    /// Take a newer fencing token for the engine: some names may not be used again under this one.
    RenewFence(UpstreamId),
    /// Ask the weight store's rights for this many more loads.
    AskBudget(u32),
    /// Answer a gateway's question.
    Reply {
        /// The gateway.
        to: Holder,
        /// Its question's number.
        ask: u64,
        /// The answer.
        outcome: AcquireOutcome,
    },
    /// Ask a gateway to drop an instance; also in [`super::OwnerMachine::recalls`].
    Recall {
        /// The gateway.
        holder: Holder,
        /// The instance.
        instance: Instance,
    },
}
