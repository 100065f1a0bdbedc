use {
    super::{Attempt, Part},
    crate::{
        error::{ErrorKind, Refusal},
        ids::UpstreamId,
    },
};

/// Why an upstream has to be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteCause {
    /// The request is new.
    First,
    /// The request did not run at the previous upstream.
    NotRun,
    /// It may have run at the previous upstream, so another run must be charged again.
    MayHaveRun,
}

/// An action that the daemon performs for a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardAction {
    /// Choose an upstream.
    Route {
        /// Number of the attempt, which the events that result from this action carry.
        attempt: Attempt,
        /// The upstream that failed last, to be avoided.
        avoid: Option<UpstreamId>,
        /// Why an upstream has to be chosen.
        cause: RouteCause,
    },
    /// Send the request to the chosen upstream.
    Send {
        /// Number of the attempt, which the events that result from this action carry.
        attempt: Attempt,
        /// Whether a new connection is required instead of a pooled one.
        fresh: bool,
    },
    /// Resume the stream at the chosen upstream over a new connection.
    Resume {
        /// Number of the attempt, which the events that result from this action carry.
        attempt: Attempt,
        /// Number of tokens already delivered; the stream resumes after them.
        offset: u64,
    },
    /// Close the connection of the last attempt.
    Abandon,
    /// Tell the upstream to stop running the last attempt.
    Cancel,
    /// Discard the parts buffered so far.
    Discard,
    /// Pass a part on to the caller.
    Deliver(Part),
    /// The response is complete: pass its end on to the caller.
    Finish,
    /// Respond with an error; no part of a response has reached the caller.
    Refuse(Refusal),
    /// End a partly delivered response with an error that marks it as incomplete.
    Break(ErrorKind),
}
