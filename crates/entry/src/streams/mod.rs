//! Replicates the origins of streams to a few VMs, so that callers can resume them at any VM.

mod origin_directory;
mod origin_peer;

pub use origin_directory::OriginDirectory;
