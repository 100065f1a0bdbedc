//! Between the messages and the types of the decisions.

mod peer;
mod right;

pub use {
    peer::{read_peer, write_peer},
    right::{read_right, read_rights, write_right, write_rights},
};
