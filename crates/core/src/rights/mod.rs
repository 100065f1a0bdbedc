//! Rate rights: what one holder may admit of each account's rate and burst.
//!
//! The limit of an account holds over the sum of all VMs, in every window of time, and there is no
//! shared clock and no counter that all could ask. So the right itself is divided: each holder has
//! a share of the rate, a share of the burst (its room) and the tokens in that room. Shares sum to
//! at most the whole and the tokens of a holder never exceed its room, so whatever the holders do
//! on their own, together they admit at most `burst + rate * window`.
//!
//! Rights move directly between holders: the giver subtracts first, so a transfer that is lost
//! loses rights and never mints any. Lost ones come back with the next epoch (see
//! [`crate::membership`]).
//!
//! How rights find their way to the demand:
//!
//! - A holder that lacks tokens asks a few peers, first those that had some to spare by their last
//!   word, then the others in turn. It asks ahead while it runs low.
//! - A giver gives the tokens that its own demand doesn't need at once, and of its rate what it doesn't
//!   use, as far as the asker does. Room goes along with both.
//! - Whoever is refused is told a time, and what will be earned until then is kept back for it, as far
//!   as callers are seen to come back.
//!
//! Measured (`cargo run --release -p jasmine-core --example skewed_load`; eight holders, one
//! account, demand of 90 % of its rate all at one VM, another one every 10 s): 0.09 % of the
//! requests are refused, 1.6 % wait for peers, 12 messages a second.
//!
//! Other ways that were weighed:
//!
//! - Static shares, `1/n` for each VM: no messages, but 70 % refused in that run, and 7.6 % with
//!   demand that is even on average.
//! - One owner for each account that grants tokens under a lease: two messages for each request that
//!   doesn't reach the owner (reckoned: 32 a second in that run, 14,000 at 8,000 requests), and
//!   while the owner is frozen or cut off the account is refused everywhere: its lease lapses, but
//!   that doesn't prove that what it granted is used up.
//! - A durable ceiling in the platform's store: one write for each request, or for each batch of
//!   tokens that a VM takes in advance; the store takes several hundred writes a second for all
//!   accounts and has outages, in which every account would stop. Batches taken in advance are shares
//!   again, but without a way back from a VM that doesn't need them.
//!
//! What it costs: a VM that dies takes the rights it held out of use until its death is proved,
//! and the tokens for good; of an account with all its demand at that VM that is nearly all (in
//! that run 12 % of the requests of two minutes, with the proof after 15 s; with even demand 0.4 %).
//! Letting idle holders keep more was no better: at half of an even part 27 % were refused. One
//! frozen VM that stays on the platform's list keeps others' lost rights from being granted anew.
//! What a request used beyond its charge is owed by the holder that admitted it and is forgotten if
//! that holder stops; the limit holds for charges, and for what ran as far as charges are upper bounds.

mod account_rights;
mod admission;
mod bucket;
mod demand;
mod home;
mod ledger;
mod limit;
mod peers;
mod pending_asks;
mod promises;
mod right;
mod settings;
mod transfer;
mod transfer_log;

pub use {
    admission::{Admission, CallerTag, Charge, Claim},
    home::home_rank,
    ledger::RightsLedger,
    limit::Limit,
    right::{MILLI, Right, SHARE_WHOLE, part_of},
    settings::RightsSettings,
    transfer::{Ask, Given, TakeRequest},
};
