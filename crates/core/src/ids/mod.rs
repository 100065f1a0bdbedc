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
mod revision;

pub use {
    adapter_version::AdapterVersion,
    epoch::Epoch,
    fence::Fence,
    holder::{Holder, Role},
    incarnation::Incarnation,
    numbers::{
        AccountId, AdapterId, BuildId, DataCentreId, KeyId, ModelId, PartId, RequestId, ServiceId,
        StreamId, TransferId, UpstreamId, VmId,
    },
    revision::Revision,
};
