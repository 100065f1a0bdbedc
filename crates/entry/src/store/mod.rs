//! The platform's key-value service: its client, what is followed there, and what this VM keeps there.

mod follower;
mod kv_store;
mod membership;

pub use {
    follower::follow,
    kv_store::KvStore,
    membership::{Membership, keep_membership, leave},
};
