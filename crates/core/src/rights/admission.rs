use crate::{error::Refusal, ids::AccountId};

/// What makes a caller that comes back after a refusal known: a digest of its key and request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerTag(pub u64);

/// Tokens taken from a holder at admission, to be settled with the actual cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "a charge that is never settled is never refunded"]
pub struct Charge {
    /// The account.
    pub account: AccountId,
    /// Its number in that account.
    pub number: u64,
    /// Tokens charged.
    pub tokens: u64,
}

/// The answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run; its cost is charged.
    Admitted(Charge),
    /// This holder has too little; peers may have the rest.
    Ask {
        /// What is missing, in thousandths of a token.
        shortfall: u64,
    },
    /// It may not run now.
    Refused(Refusal),
}

/// How a request stands to others of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It may use whatever is there, also what is kept back for callers that were told to come back.
    First,
    /// It leaves what is kept back, and so many tokens besides.
    Leaving(u64),
}
