use super::AskShare;

/// What a scheduler tells all VMs about the accounts that are over their rate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ToldShares {
    /// Changes with the rest.
    pub revision: u64,
    /// By which choice of requests the shares are applied.
    pub choice: u64,
    /// The shares; the scheduler wants to be asked about all requests of other accounts.
    pub shares: Vec<AskShare>,
}
