//! ctl.
