use serde::{Deserialize, Serialize};

/// The order in which waiting requests of one client account are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Somebody is waiting at a counter.
    #[display("high")]
    High,
    /// The rule.
    #[default]
    #[display("normal")]
    Normal,
    /// Work that may wait.
    #[display("low")]
    Low,
}
