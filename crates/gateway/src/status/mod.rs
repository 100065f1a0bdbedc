//! Whether the daemon can take requests, for balancers and for the workers themselves.

mod readiness;

pub use readiness::Readiness;
