use serde::{Deserialize, Serialize};

/// Priority class of a request within its client account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Interactive requests, which a person is waiting for.
    #[display("high")]
    High,
    /// Ordinary requests.
    #[default]
    #[display("normal")]
    Normal,
    /// Background work.
    #[display("low")]
    Low,
}
