use crate::{
    clock::Millis,
    error::Refusal,
    ids::{AccountId, AdapterVersion, Fence, ModelId, ServiceId, UpstreamId},
    placement::Instance,
};

/// What a request needs: a base model, an adapter version or a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// A base model without an adapter.
    Base(ModelId),
    /// One version of an adapter on its base model.
    Adapter(ModelId, AdapterVersion),
    /// A service without a model engine.
    Service(ServiceId),
}

/// Whether a request is sent, waits or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Send it to the upstream; it counts as in flight until [`super::Router::finished`].
    Send {
        /// The engine or server that the request is sent to.
        upstream: UpstreamId,
        /// The adapter instance to use; `None` for a base model or a service.
        instance: Option<Instance>,
    },
    /// Request the adapter from the engine's owner and route again on the reply.
    Acquire {
        /// The engine that is to load the adapter.
        upstream: UpstreamId,
        /// Id of the acquire request.
        ask: u64,
    },
    /// Route again when something changes, at the latest after this delay.
    Wait(Millis),
    /// Refuse the request.
    Refuse(Refusal),
}

/// How a sent request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The upstream returned a response.
    Done,
    /// The upstream was unreachable or the connection was lost.
    Failed,
    /// The engine does not have the instance loaded; nothing ran.
    NotLoaded,
}

/// An action requested by a [`super::Router`] in addition to routing decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouterAction {
    /// Tell the engine's owner that the grant for an instance was released.
    Release {
        /// The adapter copy that this gateway no longer uses.
        instance: Instance,
        /// The highest fencing token seen for the engine; older owners ignore the release.
        fence: Fence,
        /// Covers grants for acquire requests with an id up to this one.
        ask: u64,
    },
    /// Request one more copy of a busy adapter from an engine's owner.
    Acquire {
        /// The engine that is to load the copy.
        upstream: UpstreamId,
        /// The adapter version that needs another copy.
        adapter: AdapterVersion,
        /// The client account that used it last.
        account: AccountId,
        /// Id of the acquire request.
        ask: u64,
    },
}
