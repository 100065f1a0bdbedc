//! The platform's key-value service: client, replication of its content, registration and leader election.

mod change_source;
mod config_origin;
mod confirmation;
mod crash_evidence;
mod election;
mod feed;
mod follower;
mod kv_store;
mod lease_relay;
mod member_lease;
mod membership;
mod quarantine;
mod view;
mod vm_record;

pub use {
    change_source::ChangeSource,
    config_origin::ConfigOrigin,
    crash_evidence::keep_crash_evidence,
    election::run_election,
    feed::{Feed, FeedReply},
    follower::follow,
    kv_store::KvStore,
    member_lease::{deregister, keep_registered},
    membership::Membership,
    quarantine::keep_quarantine,
    vm_record::{FeedPeer, VmRecord},
};
pub(crate) use {feed::write_reply, vm_record::NO_LEASE};
