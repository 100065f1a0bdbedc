use {
    super::AskKind,
    crate::{clock::Millis, ids::AccountId},
};

/// A share, in parts of this.
pub(super) const WHOLE: u32 = 10_000;

/// Which part of an account's requests the scheduler wants to be asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AskShare {
    /// The account.
    pub account: AccountId,
    /// Which of its requests.
    pub kind: AskKind,
    /// The part, in ten-thousandths.
    pub share: u32,
    /// When callers of the others may come back.
    pub retry_after: Millis,
}
