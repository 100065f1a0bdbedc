//! `Copy` identifiers that are shared by the daemons.
//!
//! The ids of accounts, keys, adapters, upstreams and services are assigned by the configuration
//! and never reused, so they are the same on every VM.

mod adapter_version;
mod epoch;
mod fence;
mod holder;
mod incarnation;
mod numbers;
mod part_id;
mod revision;

pub use {
    adapter_version::AdapterVersion,
    epoch::Epoch,
    fence::Fence,
    holder::{Holder, Role},
    incarnation::Incarnation,
    numbers::{
        AccountId, AdapterId, BuildId, DataCentreId, KeyId, ModelId, RequestId, RouteId, ServiceId,
        StreamId, TransferId, UpstreamId, VmId,
    },
    part_id::{InvalidPartId, PartId},
    revision::Revision,
};
