/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key doesn't exist.
    Absent(String),
    /// The key exists.
    Exists(String),
    /// The key was last modified at this store revision.
    ModRevision(String, u64),
    /// The key has this value.
    Value(String, Vec<u8>),
}
