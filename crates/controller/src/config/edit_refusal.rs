use {jasmine_conf::tree::EditError, jasmine_core::error::ErrorKind};

/// Why an edit is not accepted, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum EditRefusal {
    /// The edit itself is not allowed, or runs into somebody else's.
    Refused(EditError),
    /// The store can't be reached; nothing was written.
    #[display("nothing was written: {_0}")]
    #[from(ignore)]
    Unavailable(#[error(not(source))] String),
    /// The write went out and nothing tells whether it took effect.
    #[display("the edit may be in force: {_0}")]
    #[from(ignore)]
    OutcomeUnknown(#[error(not(source))] String),
}

impl EditRefusal {
    /// The kind in the closed list that operators are answered with.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Refused(e) => e.kind(),
            Self::Unavailable(_) => ErrorKind::StoreUnavailable,
            Self::OutcomeUnknown(_) => ErrorKind::EditOutcomeUnknown,
        }
    }
}
