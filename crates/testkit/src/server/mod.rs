//! How a stand-in listens: an HTTP server on a thread of its own, ended when its handle is dropped.

mod headers;
mod lost_reply;
mod running;

pub use running::Running;
pub(crate) use {
    headers::{header, header_list},
    lost_reply::{lost_reply, unix_ms},
    running::start,
};
