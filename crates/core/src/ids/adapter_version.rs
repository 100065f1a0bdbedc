use {
    super::AdapterId,
    serde::{Deserialize, Serialize},
};

/// A specific version of an adapter, as requested by callers and loaded by engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[display("{adapter}@{version}")]
pub struct AdapterVersion {
    /// The adapter id.
    pub adapter: AdapterId,
    /// The version number, starting at 1.
    pub version: u32,
}
