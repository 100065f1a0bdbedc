/// A key with its value and the revisions at which the store wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision when the key was created.
    pub create_revision: u64,
    /// The store's revision when the key was last written.
    pub mod_revision: u64,
    /// The lease that the key hangs on, zero for none.
    pub lease: u64,
}
