use {
    crate::tree::Conflict,
    jasmine_core::error::{ErrorKind, Refusal},
    serde::{Deserialize, Serialize},
};

/// The body of every answer that is an error.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// What went wrong, in the shape that clients of OpenAI-style APIs know.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorDetail {
    /// A sentence for whoever reads it.
    pub message: String,
    /// The class of the status.
    #[serde(rename = "type")]
    pub class: String,
    /// The short name of the kind.
    pub code: String,
    /// Always null; clients of OpenAI-style APIs look for it.
    #[serde(default)]
    pub param: Option<String>,
    /// What is known about the work.
    pub execution: String,
    /// The id of the request.
    #[serde(default)]
    pub request_id: String,
    /// When coming back helps, if it does.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// What others changed, where an edit runs into it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conflicts: Vec<Conflict>,
}

impl ErrorBody {
    /// The body for `refusal` with a message that says more than the table.
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

    /// The kind, where this version knows it.
    pub fn kind(&self) -> Option<ErrorKind> {
        ErrorKind::from_code(&self.error.code)
    }
}
