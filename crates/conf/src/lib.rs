//! The operators' configuration tree, its storage layout and resolved form, and the settings files of
//! the daemons.

pub mod api;
pub mod arena;
pub mod fleet;
pub mod hex;
pub mod settings;
pub mod start;
pub mod store_layout;
pub mod tree;
