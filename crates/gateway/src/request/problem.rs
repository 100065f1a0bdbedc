use jasmine_core::error::{ErrorKind, Refusal};

/// A refusal with a sentence on what is wrong with this very request.
///
/// The sentence is one of the source code's own and never holds anything that the caller sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("{}", refusal.kind)]
pub struct Problem {
    /// Why the request is refused.
    pub refusal: Refusal,
    /// What in it is wrong; empty where the kind says all.
    pub detail: &'static str,
}

impl Problem {
    /// A request that isn't what the API takes.
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
