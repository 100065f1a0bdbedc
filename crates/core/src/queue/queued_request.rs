use {
    super::Priority,
    crate::{
        clock::Millis,
        ids::{AccountId, AdapterVersion, ModelId, RequestId, ServiceId},
    },
};

/// What a request needs to run; requests with the same target become runnable together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueueTarget {
    /// An engine with this adapter version loaded.
    Adapter(AdapterVersion),
    /// An engine of this base model.
    Base(ModelId),
    /// A server of this plain service.
    Service(ServiceId),
    /// An engine, once another request has shown whether the prompt crashes it.
    Trial,
}

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The client account that the request is charged to.
    pub account: AccountId,
    /// Priority within the account.
    pub priority: Priority,
    /// Expected cost in tokens.
    pub cost: u64,
    /// Time by which the request must start.
    pub deadline: Millis,
    /// What the request needs to run.
    pub target: QueueTarget,
}

/// The result of queueing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Enqueued {
    /// Expected wait.
    pub expected_wait: Millis,
}
