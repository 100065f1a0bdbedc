use {
    super::Priority,
    crate::{
        clock::Millis,
        ids::{AccountId, AdapterVersion, ModelId, RequestId, ServiceId},
        rights::CallerTag,
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
    Trial {
        /// Crashes that accuse its second most accused part: those that show most about the first one are looked at apart.
        suspicion: usize,
    },
    /// An upstream, once an earlier attempt of the same request has shown whether it ends under it.
    RequestTrial {
        /// The plain service; `None` for engines.
        service: Option<ServiceId>,
        /// Identifies the request over all attempts of its caller.
        request: CallerTag,
    },
}

impl QueueTarget {
    /// Whether the request waits for what other requests show.
    pub const fn is_trial(self) -> bool {
        matches!(self, Self::Trial { .. } | Self::RequestTrial { .. })
    }
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
