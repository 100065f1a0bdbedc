//! The operators' configuration: the tree they edit, what it resolves to, and settings files.

pub mod arena;
pub mod fleet;
pub mod hex;
pub mod settings;
pub mod tree;
