//! Load generator against real daemon processes, with a report of the results.

mod arrivals;
mod drive;
mod overhead;
mod reference;
mod report;
mod sample;

pub use {
    arrivals::LoadPattern,
    drive::drive,
    overhead::{Overhead, measure_overhead},
    report::{AccountReport, Report},
    sample::Sample,
};
