//! platform.
