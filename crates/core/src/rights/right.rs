use {
    crate::ids::AccountId,
    serde::{Deserialize, Serialize},
};

/// The share that stands for an account's whole rate or burst.
pub const FULL_SHARE: u64 = 1 << 32;

/// Millitokens per token.
pub const MILLITOKENS_PER_TOKEN: u64 = 1000;

/// A part of an account's rate, burst and tokens that a holder can own, transfer and report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Right {
    /// The account that the right belongs to.
    pub account: AccountId,
    /// Share of the rate, in units of [`FULL_SHARE`].
    pub rate_share: u64,
    /// Share of the burst, in units of [`FULL_SHARE`].
    #[serde(rename = "room_share")]
    pub burst_share: u64,
    /// Millitokens, at most the share of the burst.
    pub tokens: u64,
}

impl Right {
    /// Creates an empty right to the account.
    pub const fn none(account: AccountId) -> Self {
        Self {
            account,
            rate_share: 0,
            burst_share: 0,
            tokens: 0,
        }
    }

    /// Whether the right is empty.
    pub const fn is_none(&self) -> bool {
        self.rate_share == 0 && self.burst_share == 0 && self.tokens == 0
    }
}

/// Scales `amount` by a share of [`FULL_SHARE`], rounded down.
pub const fn scale_by_share(
    amount: u64,
    share: u64,
) -> u64 {
    ((amount as u128 * share as u128) >> 32) as u64
}
