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
        /// Number of the attempt that this is about; the event is ignored if it is not the latest.
        attempt: Attempt,
        /// The upstream to which the attempt is to be sent.
        upstream: UpstreamId,
    },
    /// No upstream was chosen.
    RouteRefused {
        /// Number of the attempt that this is about; the event is ignored if it is not the latest.
        attempt: Attempt,
        /// Why none was chosen, as the error for the caller.
        refusal: Refusal,
    },
    /// No connection was established, and no byte of the request was sent.
    Unreachable {
        /// Number of the attempt that this is about; the event is ignored if it is not the latest.
        attempt: Attempt,
    },
    /// The head of a response arrived.
    Head {
        /// Number of the attempt that this is about; the event is ignored if it is not the latest.
        attempt: Attempt,
        /// The head.
        head: Head,
    },
    /// A part of the response arrived.
    Part {
        /// Number of the attempt that this is about; the event is ignored if it is not the latest.
        attempt: Attempt,
        /// The part.
        part: Part,
    },
    /// The upstream marked the response as complete.
    End {
        /// Number of the attempt that this is about; the event is ignored if it is not the latest.
        attempt: Attempt,
        /// Number of generated tokens, if the upstream reported it.
        generated_tokens: Option<u64>,
    },
    /// The connection was lost, or invalid data arrived.
    Lost {
        /// Number of the attempt that this is about; the event is ignored if it is not the latest.
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
