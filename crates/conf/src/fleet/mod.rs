//! What one revision of the tree resolves to: every value with inheritance already applied.

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
