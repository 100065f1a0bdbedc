//! What operators' HTTP answers, as typed JSON, for the controller that writes it and the client that reads it.

mod edit_progress;
mod error_body;
mod fleet_status;
mod tree_page;

pub use {
    edit_progress::{EditProgress, VmProgress},
    error_body::{ErrorBody, ErrorDetail},
    fleet_status::{DaemonState, FleetStatus, VmStatus},
    tree_page::{EditAnswer, History, NodeRow, TreePage},
};
