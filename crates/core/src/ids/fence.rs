use serde::{Deserialize, Serialize};

/// A fencing token: an upstream's owner with the higher one has taken over from the lower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    /// The one that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
