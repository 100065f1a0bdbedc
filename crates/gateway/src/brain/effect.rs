use jasmine_core::{
    ids::{AccountId, AdapterVersion, Fence, UpstreamId},
    placement::Instance,
    rights::OutgoingTakeRequest,
    routing::RouterAction,
};

/// A message to another daemon that a decision has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Ask a peer for rights.
    TakeRights(OutgoingTakeRequest),
    /// Ask an engine's owner for an adapter.
    Acquire {
        /// The engine.
        upstream: UpstreamId,
        /// What is wanted.
        adapter: AdapterVersion,
        /// For whose requests.
        account: AccountId,
        /// The question's number.
        ask: u64,
    },
    /// Tell an engine's owner that an instance has been dropped.
    Release {
        /// The instance.
        instance: Instance,
        /// The highest fencing token seen of the engine.
        fence: Fence,
        /// The word covers questions up to this number.
        ask: u64,
    },
}

impl From<RouterAction> for Effect {
    fn from(action: RouterAction) -> Self {
        match action {
            RouterAction::Release {
                instance,
                fence,
                ask,
            } => Self::Release {
                instance,
                fence,
                ask,
            },
            RouterAction::Acquire {
                upstream,
                adapter,
                account,
                ask,
            } => Self::Acquire {
                upstream,
                adapter,
                account,
                ask,
            },
        }
    }
}
