//! telemetry.
