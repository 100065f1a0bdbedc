//! Storage addressed by the small numbers that the configuration gives out.

mod arena_key;
mod shared_arena;

pub use {arena_key::ArenaKey, shared_arena::SharedArena};
