//! testkit.
