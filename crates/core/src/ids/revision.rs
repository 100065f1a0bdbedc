use serde::{Deserialize, Serialize};

/// Revision of the configuration tree; incremented by each accepted edit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The next revision.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
