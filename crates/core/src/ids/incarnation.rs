use serde::{Deserialize, Serialize};

/// Number of a run of a process; later runs at the same address have higher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The next incarnation.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
