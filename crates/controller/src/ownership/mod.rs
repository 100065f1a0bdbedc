//! The engines that this controller owns: decisions by the owner's machine, orders by HTTP.

mod assignment;
mod engine_state;
mod owner_desk;

pub use {
    assignment::Assignment,
    engine_state::{EngineState, EngineTarget},
    owner_desk::OwnerDesk,
};
