/// How many return times were promised, and what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnCounts {
    /// Promised to refused callers.
    pub promised: u64,
    /// Callers that came at their time.
    pub kept: u64,
    /// Released, as nobody came.
    pub released: u64,
}
