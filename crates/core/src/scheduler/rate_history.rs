//! What VMs tell a scheduler that takes over about their callers' use of the account rates.

use crate::{clock::Millis, ids::AccountId};

/// Tokens that were admitted within a short time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpentTokens {
    /// The least time since any of them was admitted.
    pub ago: Millis,
    /// How many.
    pub tokens: u64,
}

/// What one VM's callers have used of the account rates in the last window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RateHistory {
    /// How long the VM has counted, at most one window.
    pub counted_for: Millis,
    /// The tokens admitted by any scheduler, refunds aside.
    pub accounts: Vec<(AccountId, Vec<SpentTokens>)>,
}
