/// Whether a failed request may have been executed by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum Execution {
    /// No part of the request was sent to an upstream.
    #[display("not_run")]
    NotRun,
    /// An upstream may have executed the request partly or completely.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// The request was executed, but the response is truncated.
    #[display("incomplete")]
    Incomplete,
}

/// Whether and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryAfter {
    /// Retrying the same request can't succeed.
    Never,
    /// The delay is set by the [`Refusal`](super::Refusal).
    FromRefusal,
    /// Default delay in seconds.
    Secs(u32),
}

/// The HTTP response to an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have been executed.
    pub execution: Execution,
    /// Whether and when to retry.
    pub retry_after: RetryAfter,
    /// Error code in responses and metrics.
    pub code: &'static str,
}
