//! Which upstreams may go on with a stream: only those of the software version that began it.
//!
//! Upstreams of several versions serve side by side and don't check what they are asked to continue, and what two
//! versions write doesn't fit together.

mod stream_origin;

pub use stream_origin::StreamOrigin;
