//! The platform's key-value service: client, replication of its content, registration and leader election.

mod feed;
mod follower;
mod kv_store;
mod lead;
mod member_lease;
mod membership;
mod relay;
mod view;
mod vm_record;

pub(crate) use feed::write_answer;
pub use {
    feed::{Feed, FeedAnswer},
    follower::follow,
    kv_store::KvStore,
    lead::keep_lead,
    member_lease::{keep_membership, leave},
    membership::Membership,
    vm_record::{VmEntry, VmRecord},
};
