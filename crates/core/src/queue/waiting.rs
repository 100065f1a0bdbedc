use {
    super::Priority,
    crate::{
        clock::Millis,
        ids::{AccountId, AdapterVersion, ModelId, RequestId, ServiceId},
    },
};

/// What a request needs to run on; requests with the same target can run at the same times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// An engine with this adapter version loaded.
    Adapter(AdapterVersion),
    /// An engine of this base model.
    Base(ModelId),
    /// A server of this plain service.
    Service(ServiceId),
}

/// A request that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// The request.
    pub request: RequestId,
    /// The client account it runs for.
    pub account: AccountId,
    /// Its class inside the account.
    pub priority: Priority,
    /// Its expected cost in tokens.
    pub cost: u64,
    /// The point in time by which it has to start.
    pub deadline: Millis,
    /// What it needs.
    pub target: Target,
}

/// The answer to a request that may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queued {
    /// How long it is expected to wait.
    pub expected_wait: Millis,
}
