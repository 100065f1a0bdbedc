//! The configuration in force here: from the store, or from a peer, and only ever a newer one.

mod applied;
mod config_keeper;
mod config_store;
mod edit_desk;
mod edit_refusal;

pub use {
    applied::Applied,
    config_keeper::{ConfigKeeper, ConfigReply},
    config_store::{ConfigReadError, ConfigStore, ReadHead, edits_end},
    edit_desk::EditDesk,
    edit_refusal::EditRefusal,
};
