use {
    jasmine_conf::{
        api::ErrorBody,
        tree::{EditError, EditId, Path},
    },
    jasmine_core::error::{ErrorKind, Execution},
};

/// Error of a command.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From)]
pub enum CtlError {
    /// A required argument or environment variable is missing, or a value is not allowed.
    #[display("{_0}")]
    #[from(skip)]
    Usage(String),
    /// A path or edit id on the command line is malformed.
    #[display("{_0}")]
    InvalidName(EditError),
    /// A file can't be read or its content is invalid.
    #[display("{file}: {reason}")]
    #[from(skip)]
    File {
        /// Path of the file, `-` for standard input.
        file: String,
        /// The read or parse error.
        reason: String,
    },
    /// No controller could be reached.
    #[display("no controller could be reached: {}", failures.join("; "))]
    #[from(skip)]
    Unreachable {
        /// One entry per failed call: the controller and its error.
        failures: Vec<String>,
    },
    /// A controller returned an error response.
    #[display("{}{}", _0.error.message, conflict_lines(_0))]
    ErrorResponse(Box<ErrorBody>),
    /// No controller could confirm whether the edit was accepted.
    #[display(
        "it is not known whether edit {id} is accepted ({}); see: jasminectl edit status {id}",
        failures.join("; ")
    )]
    #[from(skip)]
    OutcomeUnknown {
        /// Id of the edit.
        id: EditId,
        /// One entry per failed call: the controller and its error.
        failures: Vec<String>,
    },
    /// A controller returned a response that this version can't parse.
    #[display("{controller}: invalid response: {reason}")]
    #[from(skip)]
    InvalidResponse {
        /// Base URL of the controller.
        controller: String,
        /// The parse error, or the unexpected status.
        reason: String,
    },
    /// The edit is accepted but was not in force on every VM within the timeout.
    #[display("edit {id} is accepted, but not in force after {secs} s on: {pending_vms}")]
    #[from(skip)]
    WaitTimedOut {
        /// Id of the edit.
        id: EditId,
        /// The timeout, in seconds.
        secs: u64,
        /// The VMs where the edit is not in force.
        pending_vms: String,
    },
    /// The history that the controllers keep has no earlier live version.
    #[display("{path}: the history has no earlier live version; choose one with `adapter live`")]
    #[from(skip)]
    NoPreviousVersion {
        /// Path of the adapter.
        path: Path,
    },
    /// Writing to standard output failed.
    #[display("standard output: {_0}")]
    Output(std::io::Error),
}

impl CtlError {
    /// The process exit code, as documented in `--help` and docs/OPERATING.md.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Output(_) | Self::InvalidResponse { .. } => 1,
            Self::Usage(_) | Self::InvalidName(_) | Self::File { .. } => 2,
            Self::ErrorResponse(body) => error_response_exit_code(body),
            Self::NoPreviousVersion { .. } => 3,
            Self::Unreachable { .. } => 5,
            Self::OutcomeUnknown { .. } => 6,
            Self::WaitTimedOut { .. } => 8,
        }
    }
}

fn error_response_exit_code(body: &ErrorBody) -> u8 {
    match body.kind() {
        Some(ErrorKind::EditConflict) => 4,
        Some(ErrorKind::KeyMissing | ErrorKind::KeyUnknown) => 7,
        Some(
            ErrorKind::StoreUnavailable | ErrorKind::ShuttingDown | ErrorKind::ConfigUnavailable,
        ) => 5,
        Some(kind) if kind.answer().execution == Execution::OutcomeUnknown => 6,
        Some(_) => 3,
        None => 1,
    }
}

/// Formats the conflicting edits, one per line.
fn conflict_lines(body: &ErrorBody) -> String {
    let mut text = String::new();
    for conflict in &body.error.conflicts {
        text.push_str("\n  ");
        text.push_str(&conflict.to_string());
    }
    text
}
