//! Storage indexed by the dense ids of the configuration.

mod arena_key;
mod shared_arena;

pub use {arena_key::ArenaKey, shared_arena::SharedArena};
