use crate::{error::Refusal, ids::AccountId};

/// Identifies a caller that retries after a refusal: a digest of its key and request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerTag(pub u64);

/// Tokens charged at admission, to be settled with the actual cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "a charge that is never settled is never refunded"]
pub struct Charge {
    /// The client account that pays for the request.
    pub account: AccountId,
    /// Sequence number of the charge; unique in the account at this holder of rights.
    pub number: u64,
    /// Estimated cost in tokens, taken from the account's limit.
    pub tokens: u64,
}

/// The outcome of an admission attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may run; its cost is charged.
    Admitted(Charge),
    /// Too few tokens here; peers may hold unused shares (rights) of the account's limit.
    NeedsRights {
        /// Missing millitokens.
        shortfall: u64,
    },
    /// The request is refused.
    Refused(Refusal),
}

/// Whether an admission may use reserved tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservedTokens {
    /// May use all tokens, including those reserved for retries of refused callers.
    Use,
    /// Must leave the reserved tokens, and this many tokens more.
    Keep(u64),
}
