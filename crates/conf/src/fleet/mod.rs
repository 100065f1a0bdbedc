//! The resolved configuration of one tree revision, with inheritance applied.

mod account;
mod adapter;
mod fleet_view;
mod issued_key;
mod key;
mod place;
mod service;
mod upstream;
mod versions;

pub use {
    account::Account,
    adapter::{Access, Adapter, Version},
    fleet_view::{Fleet, ModelRef},
    issued_key::{IssuedKey, KEY_PREFIX},
    jasmine_core::queue::Priority,
    key::{Key, KeyDigest},
    place::{BaseModel, DataCentre},
    service::{Call, Service},
    upstream::{Upstream, UpstreamKind, UpstreamState},
    versions::Versions,
};
