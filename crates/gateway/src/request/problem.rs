use jasmine_core::error::{ErrorKind, Refusal};

/// A refusal with a detail message on what is wrong with the request.
///
/// The message is a constant and never contains data of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{}", refusal.kind)]
pub struct Problem {
    /// Kind and retry delay of the refusal.
    pub refusal: Refusal,
    /// What is wrong with the request; empty if the kind is sufficient.
    pub detail: &'static str,
}

impl Problem {
    /// Creates a `bad_request` error.
    pub const fn bad_request(detail: &'static str) -> Self {
        Self {
            refusal: Refusal::new(ErrorKind::BadRequest),
            detail,
        }
    }
}

impl From<ErrorKind> for Problem {
    fn from(kind: ErrorKind) -> Self {
        Self::from(Refusal::new(kind))
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            detail: "",
        }
    }
}
