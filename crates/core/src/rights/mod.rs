//! Rate rights: each holder's transferable share of every client account's token bucket.
//!
//! An account's limit holds for the sum of all VMs and in every window of time, without a shared
//! clock or a central counter. Each holder owns a share of the rate, a share of the burst (the
//! capacity of its bucket) and the tokens in that bucket. The shares add up to at most the whole
//! and a bucket never exceeds its capacity, so the fleet admits at most `burst + rate * window`.
//!
//! Rights move directly between holders. The giver subtracts before it responds, so a lost message
//! can lose rights but never duplicate them. Lost rights are granted again in the next epoch (see
//! [`crate::membership`]).
//!
//! - A holder that is short of tokens asks a few peers: first those that reported the most spare
//!   tokens, then the others in turn. It also prefetches while its bucket runs low.
//! - A peer gives away tokens that its own demand doesn't need soon, and unused rate up to the
//!   asker's demand, each with the bucket capacity that it needs.
//! - A refused caller is given a retry time, and a part of the tokens earned until then is reserved
//!   for it, according to how many refused callers have returned.
//!
//! Limits of this design:
//!
//! - The rights of a VM that dies are unavailable until its death is confirmed; its tokens are
//!   lost. A frozen VM that is still on the platform's list delays the reissue of lost rights.
//! - Usage above a request's charge is debt of the holder that admitted it, and is forgotten when
//!   that holder stops. The limit therefore holds for charges, and for actual usage as far as
//!   charges are upper bounds.

mod account_rights;
mod admission;
mod bucket;
mod demand;
mod home;
mod ledger;
mod limit;
mod peers;
mod pending_requests;
mod reservations;
mod right;
mod settings;
mod transfer;
mod transfer_log;

pub use {
    admission::{Admission, CallerTag, Charge, ReservedTokens},
    home::home_rank,
    ledger::RightsLedger,
    limit::Limit,
    right::{FULL_SHARE, MILLITOKENS_PER_TOKEN, Right, scale_by_share},
    settings::RightsSettings,
    transfer::{OutgoingTakeRequest, TakeRequest, TakeResponse},
};
