use {
    super::Right,
    crate::ids::{AccountId, Epoch, Holder, TransferId},
};

/// A holder's request for part of a peer's rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeRequest {
    /// The holder that asks.
    pub from: Holder,
    /// Unique at the asker; a resend keeps it.
    pub transfer: TransferId,
    /// The asker's epoch.
    pub epoch: Epoch,
    /// The account whose rights are asked for.
    pub account: AccountId,
    /// Millitokens that the asker needs.
    pub needed: u64,
    /// Recent demand at the asker, in tokens per second.
    pub demand: u64,
}

/// The response to a [`TakeRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeResponse {
    /// The giver's epoch; the right is empty if the epochs differ.
    pub epoch: Epoch,
    /// The right, already subtracted at the giver.
    pub right: Right,
    /// Spare millitokens that are left at the giver.
    pub spare: u64,
}

/// A [`TakeRequest`] and its recipient.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutgoingTakeRequest {
    /// The peer to ask.
    pub to: Holder,
    /// The request to send.
    pub request: TakeRequest,
}
