//! How the tree lies in the platform's key-value service, as pure functions.
//!
//! | key | value |
//! |---|---|
//! | [`HEAD_KEY`] | [`Head`]: the newest revision, its edit, and how far each shard has got |
//! | [`shard_key`] | [`Shard`]: the nodes whose path falls to it, as of one revision |
//! | [`edit_key`] | the [`crate::tree::Accepted`] edit that made a revision |
//!
//! An edit is one transaction, made by [`plan`]: it compares the head, writes the edit's record and
//! the new head, and rewrites the few shards that lag the most. A shard that an edit touched and that
//! is not rewritten at once is noted in the head; whoever loads the tree carries out the edits that
//! it lacks. So an edit of thousands of nodes is one write of bounded size, and an edit of one node
//! rewrites one shard of a few tens of kilobytes, not the tree.
//!
//! # Loading
//!
//! Read the head; read all shards ([`SHARD_PREFIX`]); read the records from [`Head::edits_from`] on;
//! hand them to [`load`]. A shard that is newer than the head read before it shows that an edit came
//! in between: [`LayoutError::Moved`], read again.
//!
//! # An edit whose reply is lost
//!
//! The transaction that would make revision r compares the head that made r - 1, so whatever stands
//! at the record of r tells what became of it; [`settle`] reads it. While nothing stands there the
//! transaction may still arrive: sending it again is safe, since of the two only one finds the head
//! that it compares.
//!
//! Watch [`EDIT_PREFIX`], never [`SHARD_PREFIX`]: an edit's record is a few hundred bytes.

mod head;
mod layout_error;
mod load;
mod plan;
mod settle;
mod shard;

pub use {
    head::{HEAD_KEY, Head, ShardMark},
    layout_error::LayoutError,
    load::{Loaded, load},
    plan::{EDIT_PREFIX, HISTORY_EDITS, MAX_WRITE_BYTES, Write, edit_key, plan},
    settle::{Settled, settle},
    shard::{SHARD_PREFIX, SHARDS, Shard, shard_key, shard_of},
};
