//! Small `Copy` keys that name things across the daemons.
//!
//! Numbers of accounts, keys, adapters, upstreams and services are given out by the configuration
//! when the thing is created and are never used again, so they mean the same on every VM.

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
        AccountId, AdapterId, DataCentreId, KeyId, ModelId, RequestId, ServiceId, TransferId,
        UpstreamId, VmId,
    },
    revision::Revision,
};
