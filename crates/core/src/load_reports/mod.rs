//! What upstreams report of their load, and how fast they work.

mod load_report;
mod pace;

pub use {
    load_report::{HeardLoad, LoadReport},
    pace::Pace,
};
