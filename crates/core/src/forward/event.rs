use {
    super::{Attempt, Part},
    crate::{error::Refusal, ids::UpstreamId},
};

/// How an upstream's answer begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    /// It answers; a resumable answer can be continued over another connection.
    Accepted {
        /// Whether the upstream named a stream to go on with.
        resumable: bool,
    },
    /// The named adapter instance is not loaded there; nothing ran.
    NotLoaded,
    /// It takes no more work; nothing ran.
    Busy,
    /// It refuses the request as such; nothing ran.
    Rejected,
    /// It no longer has the stream that was to be resumed.
    StreamGone,
    /// It failed; whether anything ran isn't known.
    Failed,
    /// The answer belongs to another request.
    Crossed,
}

/// What happens to a request that is being forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardEvent {
    /// An upstream was chosen.
    Routed {
        /// For which attempt.
        attempt: Attempt,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// No upstream was chosen.
    RouteRefused {
        /// For which attempt.
        attempt: Attempt,
        /// Why.
        refusal: Refusal,
    },
    /// No connection came about, and it is proved that no byte of the request left.
    Unreachable {
        /// Which attempt.
        attempt: Attempt,
    },
    /// The head of an answer arrived.
    Head {
        /// Which attempt.
        attempt: Attempt,
        /// What it says.
        head: Head,
    },
    /// A part of the answer arrived.
    Part {
        /// Which attempt.
        attempt: Attempt,
        /// The part.
        part: Part,
    },
    /// The upstream said that the answer is whole.
    End {
        /// Which attempt.
        attempt: Attempt,
        /// How many tokens the upstream says it made.
        made: Option<u64>,
    },
    /// The connection broke, or what arrived makes no sense.
    Lost {
        /// Which attempt.
        attempt: Attempt,
    },
    /// The caller doesn't take what is ready for it.
    CallerSlow,
    /// The caller takes parts again.
    CallerReady,
    /// The caller has closed its connection.
    CallerGone,
    /// Operators have withdrawn the key that the request came with.
    KeyWithdrawn,
    /// The daemon stops now and can't finish what it has.
    Stopping,
    /// Time has passed.
    Timer,
}
