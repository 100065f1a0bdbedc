/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key doesn't exist.
    Absent(String),
    /// The key exists.
    Exists(String),
    /// The key was last written at this revision of the store.
    ModRevision(String, u64),
    /// The key holds exactly this.
    Value(String, Vec<u8>),
}
