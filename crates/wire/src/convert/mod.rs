//! Conversion between Cap'n Proto messages and the types of `jasmine_core`.

mod instance;
mod peer;
mod right;
mod take;

pub use {
    instance::{read_instance, read_instances, write_instance, write_instances},
    peer::{read_peer, write_peer},
    right::{read_right, read_rights, write_right, write_rights},
    take::{read_take_request, read_take_response, write_take_request, write_take_response},
};
