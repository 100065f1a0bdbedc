/// Counts of adapter copies where they are planned by demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyStatistics {
    /// Loads of further copies ordered by demand so far.
    pub planned: u64,
    /// Those ahead of demand for which no request came.
    pub in_vain: u64,
    /// Copies on all engines now.
    pub copies: u64,
    /// Adapters whose rates are known.
    pub adapters: u64,
}
