use {
    super::{ErrorKind, RetryAfter},
    crate::clock::Millis,
};

/// A refused request: its error kind and an optional retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub kind: ErrorKind,
    /// Delay after which a retry is expected to succeed.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal with the default retry behaviour of its kind.
    pub const fn new(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// Creates a refusal with a retry delay.
    pub const fn after(
        kind: ErrorKind,
        delay: Millis,
    ) -> Self {
        Self {
            kind,
            retry_after: Some(delay),
        }
    }

    /// Value of the `Retry-After` header in seconds, rounded up.
    pub fn retry_after_secs(&self) -> Option<u64> {
        match (self.kind.answer().retry_after, self.retry_after) {
            (RetryAfter::Never, _) => None,
            (_, Some(delay)) => Some(delay.0.div_ceil(1000).max(1)),
            (RetryAfter::Secs(secs), None) => Some(u64::from(secs)),
            (RetryAfter::FromRefusal, None) => Some(1),
        }
    }
}
