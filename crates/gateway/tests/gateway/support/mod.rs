//! A gateway process between a small controller and the stand-ins.

mod fake_controller;
mod fixture;

pub use {
    fake_controller::{ControllerState, FakeController},
    fixture::{FixtureSettings, GatewayFixture, KEY, OTHER_KEY, answer},
};
