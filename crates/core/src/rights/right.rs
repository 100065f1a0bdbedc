use {
    crate::ids::AccountId,
    serde::{Deserialize, Serialize},
};

/// The whole of an account's rate or burst, as a share.
pub const SHARE_WHOLE: u64 = 1 << 32;

/// Thousandths in one token.
pub const MILLI: u64 = 1000;

/// Part of an account's rate, burst and tokens, as it is held, moved and reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Right {
    /// The account.
    pub account: AccountId,
    /// Share of the rate, of [`SHARE_WHOLE`].
    pub rate_share: u64,
    /// Share of the burst, of [`SHARE_WHOLE`].
    pub room_share: u64,
    /// Thousandths of a token, at most the room's part of the burst.
    pub tokens: u64,
}

impl Right {
    /// No part of the account's rights.
    pub const fn none(account: AccountId) -> Self {
        Self {
            account,
            rate_share: 0,
            room_share: 0,
            tokens: 0,
        }
    }

    /// Whether there is nothing in it.
    pub const fn is_none(&self) -> bool {
        self.rate_share == 0 && self.room_share == 0 && self.tokens == 0
    }
}

/// The part of `amount` that a share stands for, rounded down.
pub const fn part_of(
    amount: u64,
    share: u64,
) -> u64 {
    ((amount as u128 * share as u128) >> 32) as u64
}
