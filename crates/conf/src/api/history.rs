use {
    crate::tree::AcceptedEdit,
    serde::{Deserialize, Serialize},
};

/// Accepted edits, newest first.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct History {
    /// The edits, newest first.
    pub edits: Vec<AcceptedEdit>,
}
