use serde::{Deserialize, Serialize};

/// Number of a membership of the holders of rights; incremented by each membership change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The next epoch.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
