//! Between the messages and the types of the decisions.

mod instance;
mod peer;
mod right;

pub use {
    instance::{read_instance, read_instances, write_instance, write_instances},
    peer::{read_peer, write_peer},
    right::{read_right, read_rights, write_right, write_rights},
};
