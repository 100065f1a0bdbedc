//! Relaying of store changes between VMs.

mod change_feed;
mod confirmations;
mod convert;
mod reader_state;
mod reply;

pub(super) use convert::ask_peer;
pub use {change_feed::Feed, reply::FeedReply};
pub(crate) use {confirmations::Confirmations, convert::write_reply};
