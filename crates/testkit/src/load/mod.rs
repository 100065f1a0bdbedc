//! Drives the real processes for minutes and tells what callers got.

mod arrivals;
mod drive;
mod overhead;
mod reference;
mod report;
mod sample;

pub use {
    arrivals::Load,
    drive::drive,
    overhead::{Overhead, measure_overhead},
    report::{AccountReport, Report},
    sample::Sample,
};
