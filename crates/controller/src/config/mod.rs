//! The configuration in force here: from the store, or from a peer, and only ever a newer one.

mod applied;
mod config_keeper;

pub use {
    applied::Applied,
    config_keeper::{ConfigKeeper, ConfigReply},
};
