use crate::clock::Millis;

/// Number of an attempt of one request, starting at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub struct Attempt(pub u32);

impl Attempt {
    /// The number of the next attempt.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Whether a request may reach an upstream more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// At most once.
    Once,
    /// Any number of times, since it is idempotent.
    Idempotent,
}

/// How the response is delivered to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Part by part as it arrives.
    Streamed,
    /// At once when it is complete.
    Buffered,
}

/// Parameters of the forwarding of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardPlan {
    /// Whether the request may be repeated.
    pub repeat: Repeat,
    /// How its response is delivered.
    pub delivery: Delivery,
    /// The time at which the request fails if it has not completed.
    pub deadline: Millis,
    /// Maximum wait for the head of a response.
    pub head_timeout: Millis,
    /// Maximum pause between two parts of a response.
    pub part_timeout: Millis,
    /// Maximum number of attempts, and of consecutive resumptions without progress.
    pub max_attempts: u32,
}

impl ForwardPlan {
    /// When the wait for the head of a response times out; `None` if only the deadline applies.
    ///
    /// A request that can't be repeated gains nothing from a timeout before its deadline.
    pub(super) fn head_deadline(
        &self,
        last_activity: Millis,
    ) -> Option<Millis> {
        match self.repeat {
            Repeat::Once => None,
            Repeat::Idempotent => Some(last_activity + self.head_timeout),
        }
    }

    /// When the wait for the next part times out; `None` if only the deadline applies.
    ///
    /// A silent upstream can't be told apart from a connection that was dropped on the network path.
    pub(super) fn part_deadline(
        &self,
        last_activity: Millis,
    ) -> Option<Millis> {
        match self.repeat {
            Repeat::Once => None,
            Repeat::Idempotent => Some(last_activity + self.part_timeout),
        }
    }
}
