//! Current configuration, read from the store or from peers; its revision never decreases.

mod apply_outcome;
mod config_reader;
mod config_state;
mod edit_submit_error;
mod edit_writer;

pub use {
    apply_outcome::ApplyOutcome,
    config_reader::{ConfigReadError, ConfigReader, VersionedHead, edit_range_end},
    config_state::{ConfigReply, ConfigState},
    edit_submit_error::EditSubmitError,
    edit_writer::EditWriter,
};
