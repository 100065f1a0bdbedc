//! Printing of tables, JSON and plain lines.

mod print;
mod utc_time;

pub use {
    print::{json, line, table, yes_no},
    utc_time::utc,
};
