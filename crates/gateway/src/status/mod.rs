//! Readiness of the daemon, for load balancers and worker threads.

mod readiness;

pub use readiness::Readiness;
