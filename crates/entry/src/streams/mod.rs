//! Replicates the origins of streams to a few VMs, and while there are several builds to the store, so that callers can
//! resume them at any VM.

mod convert;
mod keep_stored;
mod origin_directory;
mod origin_peer;
mod stored_origins;
mod stored_page;

pub(crate) use convert::{read_origin, write_origin};
pub(crate) use stored_origins::PREFIX as STREAM_BUILDS_PREFIX;
pub use {keep_stored::keep_origins_stored, origin_directory::OriginDirectory};
