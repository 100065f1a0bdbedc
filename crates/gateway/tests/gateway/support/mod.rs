//! A gateway process with a fake controller and simulated upstreams.

mod fake_controller;
mod fixture;

pub use {
    fake_controller::{ControllerState, FakeController},
    fixture::{FixtureSettings, GatewayFixture, KEY, OTHER_KEY, answer},
};
