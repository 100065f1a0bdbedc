//! The fleet as the store tells it: VMs with their daemons, owners of engines, epoch of rights.

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
