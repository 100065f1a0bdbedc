use {
    super::AdapterId,
    serde::{Deserialize, Serialize},
};

/// One exact version of an adapter: what a request names and what an engine loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[display("{adapter}@{version}")]
pub struct AdapterVersion {
    /// The adapter.
    pub adapter: AdapterId,
    /// The version's number, from 1 up.
    pub version: u32,
}
