//! Relaying of store changes between VMs.

mod change_feed;
mod convert;
mod reader_state;
mod reply;

pub(super) use convert::ask_peer;
pub(crate) use convert::write_reply;
pub use {change_feed::Feed, reply::FeedReply};
