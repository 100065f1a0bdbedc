//! State and handles shared by the components of the controller.

mod shared_state;

pub use shared_state::SharedState;
