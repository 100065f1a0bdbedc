use {
    super::{ErrorKind, RetryAfter},
    crate::clock::Millis,
};

/// An error kind with what the decision adds to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub kind: ErrorKind,
    /// When coming back is expected to succeed, as a duration from now.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal for which the table alone says when to come back.
    pub const fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// A refusal whose caller should come back after `delay`.
    pub const fn after(
        kind: ErrorKind,
        delay: Millis,
    ) -> Self {
        Self {
            kind,
            retry_after: Some(delay),
        }
    }

    /// Whole seconds for the `Retry-After` header, rounded up so that nobody comes back too early.
    pub fn retry_after_secs(&self) -> Option<u64> {
        match (self.kind.answer().retry_after, self.retry_after) {
            (RetryAfter::Never, _) => None,
            (_, Some(delay)) => Some(delay.0.div_ceil(1000).max(1)),
            (RetryAfter::Secs(secs), None) => Some(u64::from(secs)),
            (RetryAfter::Decided, None) => Some(1),
        }
    }
}
