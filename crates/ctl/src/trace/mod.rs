//! What happened to a request, from what the daemons logged.
//!
//! Files are read line by line, twice, and only what concerns the request is kept, so that they may be of any
//! size. Lines that are torn or no log lines are counted and passed over.

mod log_line;
mod read;
mod story;

pub use {log_line::LogLine, read::trace, story::Story};
