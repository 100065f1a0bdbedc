//! JSON types of the operators' HTTP API, shared by the controller and its client.

mod daemon_state;
mod edit_progress;
mod edit_response;
mod error_body;
mod fleet_status;
mod history;
mod node_row;
mod tree_page;
mod vm_status;

pub use {
    daemon_state::DaemonState,
    edit_progress::{EditProgress, VmProgress},
    edit_response::EditResponse,
    error_body::{ErrorBody, ErrorDetail},
    fleet_status::FleetStatus,
    history::History,
    node_row::NodeRow,
    tree_page::TreePage,
    vm_status::VmStatus,
};
