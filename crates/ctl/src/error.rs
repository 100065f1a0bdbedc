use {
    jasmine_conf::{
        api::ErrorBody,
        tree::{EditError, EditId, Path},
    },
    jasmine_core::error::{ErrorKind, Execution},
};

/// Why a command did not do what was asked.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::From)]
pub enum CtlError {
    /// The command line or the environment lacks something or holds what is not allowed.
    #[display("{_0}")]
    #[from(skip)]
    Usage(String),
    /// A path or id on the command line is none.
    #[display("{_0}")]
    Form(EditError),
    /// A file can't be read or is not what is expected.
    #[display("{file}: {reason}")]
    #[from(skip)]
    File {
        /// The file.
        file: String,
        /// What is wrong with it.
        reason: String,
    },
    /// No controller could be asked.
    #[display("no controller could be reached: {}", tried.join("; "))]
    #[from(skip)]
    Unreachable {
        /// Each controller and what happened there.
        tried: Vec<String>,
    },
    /// A controller answered with an error.
    #[display("{}{}", _0.error.message, conflict_lines(_0))]
    Refused(Box<ErrorBody>),
    /// It is not known whether the edit is accepted.
    #[display(
        "it is not known whether edit {id} is accepted ({}); see: jasminectl edit status {id}",
        tried.join("; ")
    )]
    #[from(skip)]
    OutcomeUnknown {
        /// The edit.
        id: EditId,
        /// Each controller and what happened there.
        tried: Vec<String>,
    },
    /// A controller's answer is not what this version understands.
    #[display("{controller}: the answer is not understood: {reason}")]
    #[from(skip)]
    BadAnswer {
        /// The controller.
        controller: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The edit is accepted but was not in force everywhere within the time given.
    #[display("edit {id} is accepted, but after {secs} s not in force on: {lacking}")]
    #[from(skip)]
    NotEverywhere {
        /// The edit.
        id: EditId,
        /// The time given.
        secs: u64,
        /// The VMs that lack it.
        lacking: String,
    },
    /// The history known to the controllers does not say what was live before.
    #[display(
        "{path}: the history at hand names no earlier live version: name it with `adapter live`"
    )]
    #[from(skip)]
    NoEarlierVersion {
        /// The adapter.
        path: Path,
    },
    /// Standard output can't be written.
    #[display("standard output: {_0}")]
    Output(std::io::Error),
}

impl CtlError {
    /// The exit code, as documented in `--help` and in docs/OPERATING.md.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Output(_) | Self::BadAnswer { .. } => 1,
            Self::Usage(_) | Self::Form(_) | Self::File { .. } => 2,
            Self::Refused(body) => refused_code(body),
            Self::NoEarlierVersion { .. } => 3,
            Self::Unreachable { .. } => 5,
            Self::OutcomeUnknown { .. } => 6,
            Self::NotEverywhere { .. } => 8,
        }
    }
}

fn refused_code(body: &ErrorBody) -> u8 {
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

/// One line for each change that somebody else made.
fn conflict_lines(body: &ErrorBody) -> String {
    let mut text = String::new();
    for conflict in &body.error.conflicts {
        text.push_str("\n  ");
        text.push_str(&conflict.to_string());
    }
    text
}
