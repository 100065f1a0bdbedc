//! gateway.
