use crate::clock::Millis;

/// Which attempt of one request something belongs to, from 1 up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub struct Attempt(pub u32);

impl Attempt {
    /// The one that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Whether a request may reach an upstream more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// At most once.
    Once,
    /// Running it again does no harm.
    Idempotent,
}

/// How the answer reaches the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Part by part, as they come.
    Streamed,
    /// In one piece, once it is whole.
    Whole,
}

/// What is settled about a request before it is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardPlan {
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// How its answer is delivered.
    pub delivery: Delivery,
    /// The point in time after which nobody waits for it any more.
    pub deadline: Millis,
    /// The longest wait for the head of an answer.
    pub head_gap: Millis,
    /// The longest silence within an answer.
    pub part_gap: Millis,
    /// Runs at most, and resumptions in a row without progress.
    pub max_attempts: u32,
}

impl ForwardPlan {
    /// Until when the head of an answer is waited for after the last sign of life.
    ///
    /// A call that may not be repeated gains nothing from giving up before its deadline.
    pub(super) fn head_limit(
        &self,
        heard_at: Millis,
    ) -> Option<Millis> {
        match self.repeat {
            Repeat::Once => None,
            Repeat::Idempotent => Some(heard_at + self.head_gap),
        }
    }

    /// Until when the next part is waited for.
    ///
    /// A silent upstream can't be told from a connection that something on the way has lost track of.
    pub(super) fn part_limit(
        &self,
        heard_at: Millis,
    ) -> Option<Millis> {
        match self.repeat {
            Repeat::Once => None,
            Repeat::Idempotent => Some(heard_at + self.part_gap),
        }
    }
}
