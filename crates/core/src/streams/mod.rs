//! Which upstreams may resume a stream: only those of the service and software version (build) that began it.
//!
//! Upstreams of several builds serve side by side, and the output of two builds can't be joined. Upstreams don't check
//! this. A caller may resume a stream at any VM, so the VM that forwarded its first event replicates the stream's origin
//! to a few others, and the VM that gets the next attempt looks it up there. While a service has several builds, origins
//! are stored as well, for a loss of all VMs. If the origin isn't known, the stream is resumed only while the service has
//! a single build.

mod agreed_build;
mod known_builds;
mod origin_lookup;
mod replicas;
mod service_build;
mod stream_log;
mod stream_origin;
mod stream_origins;

pub use {
    agreed_build::agreed_build,
    known_builds::KnownBuilds,
    origin_lookup::OriginLookup,
    replicas::{LOOKUP_VMS, ORIGIN_REPLICAS, replicas_of},
    service_build::ServiceBuild,
    stream_log::{StreamLog, StreamPage},
    stream_origin::StreamOrigin,
    stream_origins::StreamOrigins,
};
