use {jasmine_conf::tree::EditError, jasmine_core::error::ErrorKind};

/// Error of submitting an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum EditSubmitError {
    /// The edit is invalid or conflicts with another edit.
    Refused(EditError),
    /// The store can't be reached; nothing was written.
    #[display("nothing was written: {_0}")]
    #[from(ignore)]
    Unavailable(#[error(not(source))] String),
    /// The write was sent, but whether it took effect is unknown.
    #[display("the edit may be in force: {_0}")]
    #[from(ignore)]
    OutcomeUnknown(#[error(not(source))] String),
}

impl EditSubmitError {
    /// Error kind reported to operators.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Refused(e) => e.kind(),
            Self::Unavailable(_) => ErrorKind::StoreUnavailable,
            Self::OutcomeUnknown(_) => ErrorKind::EditOutcomeUnknown,
        }
    }
}
