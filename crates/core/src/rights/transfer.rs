use {
    super::Right,
    crate::ids::{AccountId, Epoch, Holder, TransferId},
};

/// A holder's request for part of a peer's rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeRequest {
    /// Who asks.
    pub from: Holder,
    /// Unique for the asker; a repeat of it is the same request.
    pub transfer: TransferId,
    /// The asker's epoch.
    pub epoch: Epoch,
    /// The account.
    pub account: AccountId,
    /// What the asker lacks, in thousandths of a token.
    pub needed: u64,
    /// What the asker has been asked for lately, in tokens a second.
    pub demand: u64,
}

/// The answer to a [`TakeRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Given {
    /// The giver's epoch; the right is empty when it is not the asker's.
    pub epoch: Epoch,
    /// What the giver has already subtracted from its own.
    pub right: Right,
    /// What the giver could still spare, in thousandths of a token.
    pub spare: u64,
}

/// A [`TakeRequest`] and whom to send it to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The peer.
    pub to: Holder,
    /// The message.
    pub request: TakeRequest,
}
