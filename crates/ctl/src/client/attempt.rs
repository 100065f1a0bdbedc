use {
    awc::error::{ConnectError, SendRequestError},
    jasmine_conf::api::ErrorBody,
    jasmine_core::error::{ErrorKind, Execution},
};

/// How one call of one controller went wrong.
#[derive(Debug)]
pub(super) enum Attempt {
    /// Nothing was sent.
    NotSent(String),
    /// It was sent, and no whole answer came.
    Lost(String),
    /// It answered with an error.
    Refused(Box<ErrorBody>),
    /// It answered something that is not understood.
    Garbled(String),
}

impl Attempt {
    /// Whether another controller may do better.
    pub(super) fn is_worth_another(&self) -> bool {
        match self {
            Self::NotSent(_) | Self::Lost(_) => true,
            Self::Refused(body) => matches!(
                body.kind(),
                Some(
                    ErrorKind::ShuttingDown
                        | ErrorKind::ConfigUnavailable
                        | ErrorKind::StoreUnavailable
                        | ErrorKind::EditOutcomeUnknown
                )
            ),
            Self::Garbled(_) => false,
        }
    }

    /// Whether the controller may have done what it was asked.
    pub(super) fn may_have_run(&self) -> bool {
        match self {
            Self::NotSent(_) => false,
            Self::Lost(_) | Self::Garbled(_) => true,
            Self::Refused(body) => body
                .kind()
                .is_none_or(|kind| kind.answer().execution != Execution::NotRun),
        }
    }

    /// What happened, in a few words.
    pub(super) fn reason(&self) -> String {
        match self {
            Self::NotSent(reason) | Self::Lost(reason) | Self::Garbled(reason) => reason.clone(),
            Self::Refused(body) => body.error.message.clone(),
        }
    }
}

impl From<SendRequestError> for Attempt {
    fn from(e: SendRequestError) -> Self {
        match e {
            SendRequestError::Connect(ConnectError::Timeout) => {
                Self::NotSent("no connection in time".to_owned())
            }
            SendRequestError::Connect(e) => Self::NotSent(e.to_string()),
            SendRequestError::Url(e) => Self::NotSent(e.to_string()),
            e => Self::Lost(e.to_string()),
        }
    }
}
