//! Replicates the origins of streams to a few VMs, so that callers can resume them at any VM.

mod convert;
mod origin_directory;
mod origin_peer;

pub(crate) use convert::{read_origin, write_origin};
pub use origin_directory::OriginDirectory;
