//! Which upstreams may go on with a stream: only those of the software version that began it.
//!
//! Upstreams of several versions serve side by side and don't check what they are asked to continue, and what two
//! versions write doesn't fit together. A caller may take a stream up at any VM: the VM that served its first event
//! tells the origin to a few others, and the next one asks them. Where nobody knows it, the stream goes on only while
//! the service has a single version.

mod holders;
mod inquiry;
mod stream_origin;
mod stream_origins;

pub use {
    holders::{ASKED_VMS, HOLDERS, holders_of},
    inquiry::Inquiry,
    stream_origin::StreamOrigin,
    stream_origins::StreamOrigins,
};
