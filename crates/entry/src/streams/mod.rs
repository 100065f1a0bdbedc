//! Keeps the origins of streams on a few VMs, so that a caller can take a stream up at any of them.

mod origin_directory;
mod origin_peer;

pub use origin_directory::OriginDirectory;
