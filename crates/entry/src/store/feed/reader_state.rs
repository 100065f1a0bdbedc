/// Whether a VM has changes for the VMs that request them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReaderState {
    /// It reads the store, which has responded lately.
    Current,
    /// It begins to read the store, which hasn't responded yet.
    Starting,
    /// It reads the store, which hasn't responded for too long.
    Stale,
    /// It has stopped, or has lost the store and reads from another VM.
    NotReading,
}
