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
//! Other ways that were weighed:
//!
//! - One owner for each account that grants tokens under a lease. One message for nearly every
//!   request, and while the owner is frozen or cut off the account is refused everywhere until the
//!   lease has lapsed; a lapsed lease proves nothing about a paused owner's outstanding grants.
//! - Static shares, `1/n` for each VM. No messages, but a caller whose requests all reach one VM
//!   is refused at `1/n` of its rate.
//! - A durable counter in the platform's store. One write for each request or for each small
//!   grant; the store takes several hundred writes a second and has outages.

mod account_rights;
mod admission;
mod bucket;
mod demand;
mod home;
mod ledger;
mod limit;
mod peers;
mod promises;
mod right;
mod settings;
mod transfer;
mod transfer_log;

pub use {
    admission::{Admission, CallerTag, Charge},
    home::home_rank,
    ledger::RightsLedger,
    limit::Limit,
    right::{MILLI, Right, SHARE_WHOLE, part_of},
    settings::RightsSettings,
    transfer::{Ask, Given, TakeRequest},
};
