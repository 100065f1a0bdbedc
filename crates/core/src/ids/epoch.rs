use serde::{Deserialize, Serialize};

/// One membership of the holders of rights; grows by one with each change of membership.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The one that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
