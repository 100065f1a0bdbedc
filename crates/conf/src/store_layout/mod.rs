//! The layout of the tree in the platform's key-value service, as pure functions.
//!
//! | key | value |
//! |---|---|
//! | [`HEAD_KEY`] | [`Head`]: the newest revision, its edit, and the state of each shard |
//! | [`shard_key`] | [`Shard`]: the nodes whose paths hash to it, at one revision |
//! | [`edit_key`] | the [`crate::tree::AcceptedEdit`] edit that made a revision |
//!
//! An edit is one transaction, built by [`plan`]: it compares the head, writes the edit's record and
//! the new head, and rewrites the few shards that are most out of date. The head records which
//! changed shards were not rewritten; loading the tree replays the edits missing from them. This
//! bounds the size of every write: a bulk edit need not rewrite all shards that it changes, and a
//! small edit rewrites a few shards instead of the tree.
//!
//! # Loading
//!
//! Read the head, all shards ([`SHARD_PREFIX`]) and the records from [`Head::first_edit_to_load`] on, and pass
//! them to [`load`]. If an edit was stored after the head was read, a shard may not match the head;
//! [`load`] then returns [`LayoutError::ShardMismatch`] and the caller starts again from the head.
//!
//! # Lost replies
//!
//! The transaction that makes revision r compares the head of revision r - 1, so the record of
//! revision r shows whether it succeeded; [`write_outcome`] reads that record. If there is no record, the
//! transaction may still be in flight. Sending it again is safe: at most one of the two can succeed.
//!
//! # Watching for changes
//!
//! Watch [`EDIT_PREFIX`], not [`SHARD_PREFIX`]: edit records are usually much smaller than shards.

mod head;
mod layout_error;
mod load;
mod plan;
mod shard;
mod write_outcome;

pub use {
    head::{HEAD_KEY, Head, ShardState},
    layout_error::LayoutError,
    load::{LoadedConfig, load},
    plan::{EDIT_PREFIX, MAX_HISTORY_EDITS, MAX_WRITE_BYTES, Transaction, edit_key, plan},
    shard::{SHARD_PREFIX, SHARDS, Shard, shard_key, shard_of},
    write_outcome::{WriteOutcome, write_outcome},
};
