//! A gateway process between a small controller and the stand-ins.

mod bench;
mod fake_controller;

pub use {
    bench::{Bench, BenchSpec, KEY, OTHER_KEY, answer},
    fake_controller::{FakeController, Told},
};
