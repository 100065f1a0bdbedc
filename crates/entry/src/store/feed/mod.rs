//! Relaying of store changes between VMs.

mod answer;
mod convert;
mod served;

pub(super) use convert::ask_peer;
pub(crate) use convert::write_answer;
pub use {answer::FeedAnswer, served::Feed};
