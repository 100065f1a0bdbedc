use serde::{Deserialize, Serialize};

/// One run of a process; a later run at the same address has a higher one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The one that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
