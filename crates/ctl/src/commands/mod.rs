//! Commands that change the tree: each becomes one edit.

mod apply_file;
mod change;
mod key;
mod rollback;
mod send;
mod versions;

pub use change::change;
