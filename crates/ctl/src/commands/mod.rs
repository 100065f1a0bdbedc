//! Commands that change the configuration tree; each submits one edit.

mod apply_file;
mod change;
mod key;
mod rollback;
mod send;
mod versions;

pub use change::change;
