use super::{
    Answer,
    Execution::{self, Incomplete, NotRun, OutcomeUnknown},
    RetryAfter::{self, FromRefusal, Never, Secs},
};

/// All errors that a request or an edit can return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Error)]
pub enum ErrorKind {
    /// The request is malformed: invalid JSON, or a missing or invalid field.
    BadRequest,
    /// The body exceeds the configured size.
    BodyTooLarge,
    /// The headers exceed the configured size.
    HeadersTooLarge,
    /// The request was not received within the timeout.
    SlowSender,
    /// The API key is missing or malformed.
    KeyMissing,
    /// The API key does not exist.
    KeyUnknown,
    /// The API key has been revoked.
    KeyWithdrawn,
    /// The API key was revoked while the response was streaming.
    KeyWithdrawnMidway,
    /// The key's client account does not have access to the model or service.
    NotPermitted,
    /// The adapter or adapter version does not exist.
    ModelNotFound,
    /// The service or call does not exist.
    ServiceNotFound,
    /// The client account's rate limit is exceeded.
    RateLimited,
    /// The request costs more than the client account's burst.
    LargerThanBurst,
    /// Too many requests are waiting.
    QueueFull,
    /// The request would miss its deadline.
    CannotMeetDeadline,
    /// No suitable upstream is reachable.
    NoUpstream,
    /// All data centres with upstreams that may serve the request are being evacuated.
    Evacuated,
    /// No upstream is in the regions that the route and the client account allow.
    RegionUnavailable,
    /// No upstream serves that has the software version which began the stream, or that isn't known.
    StreamNotResumable,
    /// A part of the prompt crashes the upstreams that answer it.
    PromptQuarantined,
    /// Several upstreams ended under the request.
    RequestQuarantined,
    /// The adapter version could not be loaded.
    AdapterLoadFailed,
    /// The configuration is too old to check keys: neither platform nor peers were reachable.
    ConfigUnavailable,
    /// The platform can't record the idempotency key; the call was not started.
    ClaimUnavailable,
    /// A call with this idempotency key is running, or its outcome is unknown.
    ClaimRunning,
    /// The idempotency key was used with a different request.
    ClaimMismatch,
    /// This VM is shutting down.
    ShuttingDown,
    /// The upstream could not be reached; nothing was sent.
    UpstreamUnreachable,
    /// The connection to the upstream failed after the request was sent.
    UpstreamLost,
    /// The upstream's response is invalid or belongs to a different request.
    UpstreamInvalid,
    /// The deadline passed while an upstream was processing the request.
    DeadlineExceeded,
    /// The response was interrupted and could not be resumed.
    AnswerCut,
    /// The edit refers to an unknown entity or has an invalid value.
    EditInvalid,
    /// The entity was changed by another edit since it was read.
    EditConflict,
    /// The platform did not respond; the edit may or may not have been applied.
    EditOutcomeUnknown,
    /// The platform's key-value service is unreachable; nothing was written.
    StoreUnavailable,
    /// The path does not exist.
    NotFound,
    /// Internal error of the daemon.
    Internal,
}

impl ErrorKind {
    /// All kinds, in declaration order.
    pub const ALL: [Self; 38] = [
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::HeadersTooLarge,
        Self::SlowSender,
        Self::KeyMissing,
        Self::KeyUnknown,
        Self::KeyWithdrawn,
        Self::KeyWithdrawnMidway,
        Self::NotPermitted,
        Self::ModelNotFound,
        Self::ServiceNotFound,
        Self::RateLimited,
        Self::LargerThanBurst,
        Self::QueueFull,
        Self::CannotMeetDeadline,
        Self::NoUpstream,
        Self::Evacuated,
        Self::RegionUnavailable,
        Self::StreamNotResumable,
        Self::PromptQuarantined,
        Self::RequestQuarantined,
        Self::AdapterLoadFailed,
        Self::ConfigUnavailable,
        Self::ClaimUnavailable,
        Self::ClaimRunning,
        Self::ClaimMismatch,
        Self::ShuttingDown,
        Self::UpstreamUnreachable,
        Self::UpstreamLost,
        Self::UpstreamInvalid,
        Self::DeadlineExceeded,
        Self::AnswerCut,
        Self::EditInvalid,
        Self::EditConflict,
        Self::EditOutcomeUnknown,
        Self::StoreUnavailable,
        Self::NotFound,
        Self::Internal,
    ];

    /// The HTTP response to this kind.
    pub const fn answer(self) -> Answer {
        match self {
            Self::BadRequest => answer_of(400, NotRun, Never, "bad_request"),
            Self::BodyTooLarge => answer_of(413, NotRun, Never, "body_too_large"),
            Self::HeadersTooLarge => answer_of(431, NotRun, Never, "headers_too_large"),
            Self::SlowSender => answer_of(408, NotRun, Secs(1), "slow_sender"),
            Self::KeyMissing => answer_of(401, NotRun, Never, "key_missing"),
            Self::KeyUnknown => answer_of(401, NotRun, Never, "key_unknown"),
            Self::KeyWithdrawn => answer_of(401, NotRun, Never, "key_withdrawn"),
            Self::KeyWithdrawnMidway => answer_of(401, Incomplete, Never, "key_withdrawn_midway"),
            Self::NotPermitted => answer_of(403, NotRun, Never, "not_permitted"),
            Self::ModelNotFound => answer_of(404, NotRun, Never, "model_not_found"),
            Self::ServiceNotFound => answer_of(404, NotRun, Never, "service_not_found"),
            Self::RateLimited => answer_of(429, NotRun, FromRefusal, "rate_limited"),
            Self::LargerThanBurst => answer_of(400, NotRun, Never, "larger_than_burst"),
            Self::QueueFull => answer_of(429, NotRun, FromRefusal, "queue_full"),
            Self::CannotMeetDeadline => answer_of(503, NotRun, FromRefusal, "cannot_meet_deadline"),
            Self::NoUpstream => answer_of(503, NotRun, Secs(2), "no_upstream"),
            Self::Evacuated => answer_of(503, NotRun, Never, "evacuated"),
            Self::RegionUnavailable => answer_of(503, NotRun, Never, "region_unavailable"),
            Self::StreamNotResumable => answer_of(503, NotRun, Never, "stream_not_resumable"),
            Self::PromptQuarantined => answer_of(503, NotRun, Never, "prompt_quarantined"),
            Self::RequestQuarantined => answer_of(503, NotRun, Never, "request_quarantined"),
            Self::AdapterLoadFailed => answer_of(503, NotRun, Secs(5), "adapter_load_failed"),
            Self::ConfigUnavailable => answer_of(503, NotRun, Secs(5), "config_unavailable"),
            Self::ClaimUnavailable => answer_of(503, NotRun, Secs(5), "claim_unavailable"),
            Self::ClaimRunning => answer_of(409, OutcomeUnknown, Secs(2), "claim_running"),
            Self::ClaimMismatch => answer_of(422, NotRun, Never, "claim_mismatch"),
            Self::ShuttingDown => answer_of(503, NotRun, Secs(1), "shutting_down"),
            Self::UpstreamUnreachable => answer_of(502, NotRun, Secs(1), "upstream_unreachable"),
            Self::UpstreamLost => answer_of(502, OutcomeUnknown, Secs(1), "upstream_lost"),
            Self::UpstreamInvalid => answer_of(502, OutcomeUnknown, Never, "upstream_invalid"),
            Self::DeadlineExceeded => answer_of(504, OutcomeUnknown, Never, "deadline_exceeded"),
            Self::AnswerCut => answer_of(502, Incomplete, Secs(1), "answer_cut"),
            Self::EditInvalid => answer_of(422, NotRun, Never, "edit_invalid"),
            Self::EditConflict => answer_of(409, NotRun, Never, "edit_conflict"),
            Self::EditOutcomeUnknown => {
                answer_of(504, OutcomeUnknown, Secs(2), "edit_outcome_unknown")
            }
            Self::StoreUnavailable => answer_of(503, NotRun, Secs(2), "store_unavailable"),
            Self::NotFound => answer_of(404, NotRun, Never, "not_found"),
            Self::Internal => answer_of(500, OutcomeUnknown, Never, "internal"),
        }
    }

    /// Whether callers take it as final: a refusal by a status of 400 to 499 without a time after which to come back.
    pub const fn is_final(self) -> bool {
        let answer = self.answer();
        matches!(answer.status, 400..=499)
            && matches!(answer.execution, NotRun)
            && matches!(answer.retry_after, Never)
    }

    /// Error message for the caller.
    pub const fn message(self) -> &'static str {
        match self {
            Self::BadRequest => {
                "The request is not what the API takes: bad JSON, a missing or wrong field."
            }
            Self::BodyTooLarge => "The body is over the configured size.",
            Self::HeadersTooLarge => "The headers are over the configured size.",
            Self::SlowSender => "The request did not arrive in time.",
            Self::KeyMissing => "No key came with the request, or it is malformed.",
            Self::KeyUnknown => "The key is not one that operators issued.",
            Self::KeyWithdrawn => "The key has been withdrawn.",
            Self::KeyWithdrawnMidway => "The key was withdrawn while its answer was streaming.",
            Self::NotPermitted => "The key's client account may not use this.",
            Self::ModelNotFound => "No adapter or version of that name exists.",
            Self::ServiceNotFound => "No service or call of that name exists.",
            Self::RateLimited => "The client account's rate and burst are used up.",
            Self::LargerThanBurst => {
                "The request costs more than the client account's whole burst."
            }
            Self::QueueFull => "Too much of this client account's work is waiting already.",
            Self::CannotMeetDeadline => "The request would not be served before its deadline.",
            Self::NoUpstream => "No upstream that could serve this is reachable.",
            Self::Evacuated => "The data centres whose upstreams could serve this are evacuated.",
            Self::RegionUnavailable => {
                "No upstream that could serve this is in a region that is allowed for it."
            }
            Self::StreamNotResumable => {
                "No upstream of the software version that began the stream serves, or that version isn't known."
            }
            Self::PromptQuarantined => "A part of the prompt has crashed several upstreams.",
            Self::RequestQuarantined => "Several upstreams have ended under the request.",
            Self::AdapterLoadFailed => "The adapter version could not be loaded.",
            Self::ConfigUnavailable => {
                "This VM has reached neither the platform nor a peer for too long to check keys."
            }
            Self::ClaimUnavailable => {
                "The platform can't record the idempotency key, so the call was not begun."
            }
            Self::ClaimRunning => {
                "A call with this idempotency key is running or its outcome is unknown."
            }
            Self::ClaimMismatch => "The idempotency key was used with another request.",
            Self::ShuttingDown => "This VM is about to stop.",
            Self::UpstreamUnreachable => "The upstream could not be reached; nothing was sent.",
            Self::UpstreamLost => "The upstream was lost after the request had been sent.",
            Self::UpstreamInvalid => {
                "The upstream's answer could not be understood or belongs to another request."
            }
            Self::DeadlineExceeded => "The deadline passed while an upstream was at work.",
            Self::AnswerCut => "The answer broke off and could not be resumed.",
            Self::EditInvalid => {
                "The edit names something that doesn't exist or a value that is not allowed."
            }
            Self::EditConflict => "Another edit has changed the same thing since it was read.",
            Self::EditOutcomeUnknown => {
                "The platform did not answer; the edit may or may not be accepted."
            }
            Self::StoreUnavailable => {
                "The platform's key-value service can't be reached; nothing was written."
            }
            Self::NotFound => "Nothing exists at this path.",
            Self::Internal => "A defect in this daemon.",
        }
    }

    /// Returns the kind with this error code.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.answer().code == code)
    }
}

impl std::fmt::Display for ErrorKind {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.write_str(self.answer().code)
    }
}

const fn answer_of(
    status: u16,
    execution: Execution,
    retry_after: RetryAfter,
    code: &'static str,
) -> Answer {
    Answer {
        status,
        execution,
        retry_after,
        code,
    }
}
