//! HTTP clients for engine orders and engine reports.

mod engine_client;
mod engine_report;
mod report_reader;

pub use {
    engine_client::{EngineClient, EngineError},
    engine_report::EngineReport,
    report_reader::ReportReader,
};
