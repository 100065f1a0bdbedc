use serde::{Deserialize, Serialize};

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Defects only.
    #[display("error")]
    Error,
    /// What an operator should look at.
    #[display("warn")]
    Warn,
    /// One line for each event of note.
    #[default]
    #[display("info")]
    Info,
    /// Also what helps to follow a request.
    #[display("debug")]
    Debug,
}

/// Logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// How much is logged.
    pub level: LogLevel,
}
