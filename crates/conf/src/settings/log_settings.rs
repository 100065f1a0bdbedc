use serde::{Deserialize, Serialize};

/// The minimum severity of logged events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only errors that indicate defects.
    #[display("error")]
    Error,
    /// Also conditions that operators should look at.
    #[display("warn")]
    Warn,
    /// Also notable events.
    #[default]
    #[display("info")]
    Info,
    /// Also details for tracing a request.
    #[display("debug")]
    Debug,
}

/// Logging settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The minimum severity of logged events.
    pub level: LogLevel,
}
