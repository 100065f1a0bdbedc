use crate::clock::Millis;

/// A run of an upstream, as its entry and its reports tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KnownRun {
    /// Its start.
    pub started_unix_ms: u64,
    /// When it was first known.
    pub known_at: Millis,
}
