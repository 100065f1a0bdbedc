/// A key with its value, revisions and lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store revision at which the key was created.
    pub create_revision: u64,
    /// The store revision at which the key was last modified.
    pub mod_revision: u64,
    /// The id of the lease that the key is attached to; zero for none.
    pub lease: u64,
}
