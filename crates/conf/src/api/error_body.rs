use {
    crate::tree::Conflict,
    jasmine_core::error::{ErrorKind, Refusal},
    serde::{Deserialize, Serialize},
};

/// The body of every error response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// The error in the format of OpenAI-style APIs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorDetail {
    /// A human-readable message.
    pub message: String,
    /// The error class, derived from the HTTP status.
    #[serde(rename = "type")]
    pub class: String,
    /// The code of the [`ErrorKind`].
    pub code: String,
    /// Always null; expected by clients of OpenAI-style APIs.
    #[serde(default)]
    pub param: Option<String>,
    /// Whether the request may have been executed.
    pub execution: String,
    /// The id of the request.
    #[serde(default)]
    pub request_id: String,
    /// When to retry, in milliseconds; `None` if a retry does not help.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The conflicting ops, if an edit was refused because of conflicts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
}

impl ErrorBody {
    /// Creates the body for `refusal` with a specific message.
    pub fn new(
        refusal: Refusal,
        message: String,
        conflicts: Vec<Conflict>,
        request_id: String,
    ) -> Self {
        let answer = refusal.kind.answer();
        let class = match answer.status {
            400..500 => "invalid_request_error",
            _ => "server_error",
        };
        Self {
            error: ErrorDetail {
                message,
                class: class.to_owned(),
                code: answer.code.to_owned(),
                param: None,
                execution: answer.execution.to_string(),
                request_id,
                retry_after_ms: refusal.retry_after_secs().map(|secs| secs * 1000),
                conflicts,
            },
        }
    }

    /// The error kind; `None` if this version does not know the code.
    pub fn kind(&self) -> Option<ErrorKind> {
        ErrorKind::from_code(&self.error.code)
    }
}
