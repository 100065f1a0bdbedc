use crate::{
    clock::Millis,
    error::Refusal,
    ids::{AccountId, AdapterVersion, Fence, ModelId, ServiceId, UpstreamId},
    placement::Instance,
};

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// A base model without an adapter.
    Base(ModelId),
    /// One version of an adapter on its base model.
    Adapter(ModelId, AdapterVersion),
    /// A plain service.
    Service(ServiceId),
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Send it there; it counts as in flight until [`super::Router::finished`].
    Send {
        /// The upstream.
        upstream: UpstreamId,
        /// The instance to name to an engine; none for a base model or a service.
        instance: Option<Instance>,
    },
    /// Ask the engine's owner for the adapter, then route again when the answer is in.
    Acquire {
        /// The engine.
        upstream: UpstreamId,
        /// The question's number.
        ask: u64,
    },
    /// Nothing can be done for it now; route again when something changes, at the latest after this.
    Wait(Millis),
    /// It can't be served.
    Refuse(Refusal),
}

/// How a request that was sent has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The upstream has answered.
    Done,
    /// The upstream could not be reached or broke off.
    Failed,
    /// The engine doesn't have the instance; nothing ran.
    NotLoaded,
}

/// What a [`super::Router`] wants done apart from routing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterAction {
    /// Tell the owner under this token that the instance has been dropped.
    Release {
        /// The instance.
        instance: Instance,
        /// The highest token seen of the engine: the word goes to no older owner.
        fence: Fence,
        /// The word covers grants for questions up to this number.
        ask: u64,
    },
    /// Ask the engine's owner for one more copy of a busy adapter.
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
}
