//! Startup, background tasks and shutdown of the daemon.

mod controller_context;
mod controller_status;
mod operators_actor;
mod run;
mod start_error;
mod stop;
mod tasks;

pub use {
    controller_context::ControllerContext, controller_status::ControllerStatus,
    operators_actor::OperatorsActor, run::run, start_error::StartError,
};
