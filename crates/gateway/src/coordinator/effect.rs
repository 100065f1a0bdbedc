use jasmine_core::{
    ids::{AccountId, AdapterVersion, Fence, UpstreamId},
    placement::Instance,
    rights::OutgoingTakeRequest,
    routing::RouterAction,
};

/// A message to another daemon, produced by a change of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Request a share of an account's rate limit (rights) from a peer.
    TakeRights(OutgoingTakeRequest),
    /// Request an adapter from an engine's owner.
    Acquire {
        /// Engine that should load the adapter.
        upstream: UpstreamId,
        /// The adapter version to load.
        adapter: AdapterVersion,
        /// The account that needs the adapter.
        account: AccountId,
        /// Sequence number of this acquire request.
        ask: u64,
    },
    /// Tell an engine's owner that an instance has been released.
    Release {
        /// Adapter version on its engine that this gateway no longer uses.
        instance: Instance,
        /// The highest fencing token seen for the engine.
        fence: Fence,
        /// The release covers acquire requests up to this number.
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
