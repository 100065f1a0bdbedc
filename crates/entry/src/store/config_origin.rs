use {super::ChangeSource, jasmine_core::clock::Millis};

/// Where a VM's configuration came from, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigOrigin {
    /// Who has told this VM of it.
    pub source: ChangeSource,
    /// The store revision at which it was written.
    pub revision: u64,
    /// When this VM began to apply it.
    pub taken_at: Millis,
}
