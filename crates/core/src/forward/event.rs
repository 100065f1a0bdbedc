use {
    super::{Attempt, Part},
    crate::{error::Refusal, ids::UpstreamId},
};

/// The head of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Head {
    /// The upstream accepted the request.
    Accepted {
        /// Whether the upstream named a stream that can be resumed over another connection.
        resumable: bool,
    },
    /// The requested adapter instance is not loaded; nothing ran.
    NotLoaded,
    /// The upstream accepts no more work; nothing ran.
    Busy,
    /// The upstream rejected the request as invalid; nothing ran.
    Rejected,
    /// The upstream no longer has the stream to resume.
    StreamGone,
    /// The upstream failed; the request may have run.
    Failed,
    /// The response belongs to another request.
    WrongRequest,
}

/// An input of a [`super::ForwardMachine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardEvent {
    /// An upstream was chosen.
    Routed {
        /// The attempt.
        attempt: Attempt,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// No upstream was chosen.
    RouteRefused {
        /// The attempt.
        attempt: Attempt,
        /// The reason.
        refusal: Refusal,
    },
    /// No connection was established, and no byte of the request was sent.
    Unreachable {
        /// The attempt.
        attempt: Attempt,
    },
    /// The head of a response arrived.
    Head {
        /// The attempt.
        attempt: Attempt,
        /// The head.
        head: Head,
    },
    /// A part of the response arrived.
    Part {
        /// The attempt.
        attempt: Attempt,
        /// The part.
        part: Part,
    },
    /// The upstream marked the response as complete.
    End {
        /// The attempt.
        attempt: Attempt,
        /// Number of generated tokens, if the upstream reported it.
        generated_tokens: Option<u64>,
    },
    /// The connection was lost, or invalid data arrived.
    Lost {
        /// The attempt.
        attempt: Attempt,
    },
    /// The caller does not read the parts that are ready for it.
    CallerSlow,
    /// The caller reads again.
    CallerReady,
    /// The caller has closed its connection.
    CallerGone,
    /// The API key of the request was revoked.
    KeyWithdrawn,
    /// The daemon is shutting down and can't finish the request.
    Stopping,
    /// The time returned by [`super::ForwardMachine::wake_at`] has come.
    Timer,
}
