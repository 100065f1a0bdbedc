//! HTTP server of a stand-in on its own thread, stopped when its handle is dropped.

mod headers;
mod lost_reply;
mod running;

pub use running::RunningServer;
pub(crate) use {
    headers::{header, header_list},
    lost_reply::{lost_reply, unix_ms},
    running::start,
};
