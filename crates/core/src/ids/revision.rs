use serde::{Deserialize, Serialize};

/// A state of the configuration tree; grows by one with each accepted edit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The one that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
