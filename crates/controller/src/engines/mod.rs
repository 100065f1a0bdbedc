//! Orders to engines and their reports.

mod engine_client;
mod engine_report;

pub use {
    engine_client::{EngineClient, EngineError},
    engine_report::EngineReport,
};
