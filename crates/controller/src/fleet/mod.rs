//! Fleet state from the store: VMs and their daemons, engine owners and the epoch of rights.

mod fleet_mirror;
mod member_record;
mod owner_record;
mod registration;

pub use {
    fleet_mirror::FleetMirror,
    member_record::{DaemonRecord, MemberRecord},
    owner_record::{Owner, OwnerRecord},
    registration::{Registered, Registration},
};
