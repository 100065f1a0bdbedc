use crate::clock::Millis;

/// How an assigned request ended, as reported by its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream sent a complete response, with any status.
    Answered {
        /// Time from sending the request to the end of the response.
        took: Millis,
    },
    /// The upstream ran the request and reported a failure.
    Failed,
    /// The upstream was full and did not run the request.
    Shed,
    /// The adapter or this version of it is not loaded yet.
    NotLoaded,
    /// The address belongs to another upstream.
    OtherUpstream,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, or the response was malformed.
    Lost,
    /// The upstream sent nothing for too long.
    Silent,
    /// The caller disconnected or its deadline passed; says nothing about the upstream.
    Abandoned,
}

impl Outcome {
    /// Whether the upstream may have been at work on it as it ended, or may be still.
    pub const fn may_be_unfinished(self) -> bool {
        matches!(self, Self::Lost | Self::Silent | Self::Abandoned)
    }

    /// Whether the upstream has sent a complete response.
    pub const fn has_response(self) -> bool {
        match self {
            Self::Answered { .. } | Self::Failed | Self::Shed | Self::NotLoaded => true,
            Self::OtherUpstream
            | Self::Unreachable
            | Self::Lost
            | Self::Silent
            | Self::Abandoned => false,
        }
    }
}

/// How an order to an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine is executing the order.
    Accepted,
    /// The requested state is already in effect.
    Holds,
    /// The sequence number doesn't match, or the engine is busy.
    Conflict,
    /// The engine rejected the order for another reason.
    Refused,
    /// The address belongs to another upstream.
    OtherUpstream,
    /// The order was sent and got no response; it may be executed, even later.
    Lost,
    /// The order never left this VM, so the engine is unchanged.
    Unsent,
}

/// Engines that get no more orders before leadership is handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnginesToPause {
    /// Every second engine, so that the next scheduler can order these at once.
    EverySecond,
    /// Stops orders to every engine.
    All,
}

/// Whether a scheduler, on this or another VM, admitted a request under its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateDecision {
    /// The account was charged.
    Admitted,
    /// The account was over its rate.
    RateLimited,
}
