/// What is known about the work when a caller is answered with an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub enum Execution {
    /// No upstream has seen any byte of the request.
    #[display("not_run")]
    NotRun,
    /// An upstream may have run it, in part or whole.
    #[display("outcome_unknown")]
    OutcomeUnknown,
    /// It ran, and the answer ends before its end.
    #[display("incomplete")]
    Incomplete,
}

/// Whether and when coming back helps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryAfter {
    /// Coming back with the same request doesn't help.
    Never,
    /// The decision names the time; the refusal carries it.
    Decided,
    /// After this many seconds, where nothing better is known.
    Secs(u32),
}

/// How an error kind is answered over HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// What is known about the work.
    pub execution: Execution,
    /// When to come back.
    pub retry_after: RetryAfter,
    /// The short name callers and metrics see.
    pub code: &'static str,
}
