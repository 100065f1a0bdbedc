use {
    super::{Attempt, Part},
    crate::{
        error::{ErrorKind, Refusal},
        ids::UpstreamId,
    },
};

/// Why an upstream is to be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteCause {
    /// The request is new.
    First,
    /// Nothing ran at the upstream chosen before.
    NotRun,
    /// It may have run at the upstream chosen before, so a second run has to be charged again.
    MayHaveRun,
}

/// What the daemon is to do for a request that is being forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardAction {
    /// Choose an upstream.
    Route {
        /// For which attempt.
        attempt: Attempt,
        /// The one that failed last.
        avoid: Option<UpstreamId>,
        /// Why.
        cause: RouteCause,
    },
    /// Send the request to the chosen upstream.
    Send {
        /// Which attempt.
        attempt: Attempt,
        /// Whether a pooled connection is out of the question.
        fresh: bool,
    },
    /// Go on with the stream at the chosen upstream, over a new connection.
    Resume {
        /// Which attempt.
        attempt: Attempt,
        /// The token after which to go on.
        offset: u64,
    },
    /// Close the connection of the last attempt; nothing is wanted from it any more.
    Abandon,
    /// Tell the upstream to stop what it does for the last attempt.
    Cancel,
    /// Forget the parts gathered so far.
    Discard,
    /// Pass a part on.
    Deliver(Part),
    /// The answer is whole: pass its end on.
    Finish,
    /// Answer with an error; nothing of an answer has reached the caller.
    Refuse(Refusal),
    /// End a begun answer with an error, marked as incomplete.
    Break(ErrorKind),
}
