//! Requests of accounts that are over their rate, most of which their VMs refuse without asking the scheduler.
//!
//! The scheduler tells all VMs which share of such an account's requests it wants to be asked about, by what it admits
//! of them. A VM passes on that share, chosen by a hash of the request, so that all VMs choose alike and a caller that
//! comes back at another VM is passed on again.

mod ask_controller;
mod ask_filter;
mod ask_kind;
mod ask_share;
mod told_shares;

pub use {
    ask_controller::AskController, ask_filter::AskFilter, ask_kind::AskKind, ask_share::AskShare,
    told_shares::ToldShares,
};
