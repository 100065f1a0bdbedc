use {
    awc::error::{ConnectError, SendRequestError},
    jasmine_conf::api::ErrorBody,
    jasmine_core::error::{ErrorKind, Execution},
};

/// Error of a single HTTP call to one controller.
#[derive(Debug)]
pub(super) enum CallError {
    /// The request was not sent.
    NotSent(String),
    /// The request was sent, but no complete response was received.
    ResponseLost(String),
    /// The controller returned an error response.
    ErrorResponse(Box<ErrorBody>),
    /// The response could not be parsed.
    InvalidResponse(String),
}

impl CallError {
    /// Whether the call can be retried on another controller.
    pub(super) fn is_retryable(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::ResponseLost(_) => true,
            Self::ErrorResponse(body) => matches!(
                body.kind(),
                Some(
                    ErrorKind::ShuttingDown
                        | ErrorKind::ConfigUnavailable
                        | ErrorKind::StoreUnavailable
                        | ErrorKind::EditOutcomeUnknown
                )
            ),
            Self::InvalidResponse(_) => false,
        }
    }

    /// Whether the controller may have executed the request.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Self::NotSent(_) => false,
            Self::ResponseLost(_) | Self::InvalidResponse(_) => true,
            Self::ErrorResponse(body) => body
                .kind()
                .is_none_or(|kind| kind.answer().execution != Execution::NotRun),
        }
    }

    /// The error text.
    pub(super) fn reason(&self) -> String {
        match self {
            Self::NotSent(reason) | Self::ResponseLost(reason) | Self::InvalidResponse(reason) => {
                reason.clone()
            }
            Self::ErrorResponse(body) => body.error.message.clone(),
        }
    }
}

impl From<SendRequestError> for CallError {
    fn from(e: SendRequestError) -> Self {
        match e {
            SendRequestError::Connect(ConnectError::Timeout) => {
                Self::NotSent("connect timeout".to_owned())
            }
            SendRequestError::Connect(e) => Self::NotSent(e.to_string()),
            SendRequestError::Url(e) => Self::NotSent(e.to_string()),
            e => Self::ResponseLost(e.to_string()),
        }
    }
}
