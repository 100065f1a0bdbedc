use serde::{Deserialize, Serialize};

/// A fencing token of an upstream's owner; a higher token supersedes lower ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    /// The next token.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
