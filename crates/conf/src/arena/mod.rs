//! Storage addressed by the small numbers that the configuration gives out.

mod arena_key;
mod dense_arena;
mod shared_arena;

pub use {arena_key::ArenaKey, dense_arena::Arena, shared_arena::SharedArena};
