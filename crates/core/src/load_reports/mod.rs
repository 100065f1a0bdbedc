//! What upstreams report of their load, and how fast they work.

mod base_pace;
mod load_report;
mod pace;
mod pace_estimate;
mod pace_forecast;
mod report_agreement;
mod report_fade;

pub use {
    load_report::{HeardLoad, LoadReport},
    pace::Pace,
    pace_estimate::PaceEstimate,
    pace_forecast::PaceForecast,
};
