use {
    super::SubmitError,
    actix_web::{
        HttpResponse, ResponseError,
        http::{StatusCode, header},
    },
    jasmine_conf::{api::ErrorBody, tree::Conflict, tree::EditError},
    jasmine_core::error::{ErrorKind, Refusal},
};

/// Error response to an operator.
#[derive(Clone, Debug)]
#[derive(derive_more::Display)]
#[display("{kind}: {message}")]
pub struct ApiError {
    /// Error kind, which determines the status code.
    pub kind: ErrorKind,
    /// Explanation for the operator.
    pub message: String,
    /// Conflicting edits, empty for other errors.
    pub conflicts: Vec<Conflict>,
}

impl ApiError {
    /// Creates an error with its own message instead of the default of its kind.
    pub const fn new(
        kind: ErrorKind,
        message: String,
    ) -> Self {
        Self {
            kind,
            message,
            conflicts: Vec::new(),
        }
    }

    /// Converts an error of a read, where a missing path is not an invalid edit.
    pub(super) fn of_read(e: &EditError) -> Self {
        let kind = match e {
            EditError::NoSuchNode { .. } => ErrorKind::NotFound,
            EditError::SettingNotAllowed { .. } => ErrorKind::BadRequest,
            _ => e.kind(),
        };
        Self::new(kind, e.to_string())
    }

    /// Builds the HTTP response, with the id of the request.
    pub(super) fn response(
        &self,
        request_id: &str,
    ) -> HttpResponse {
        let refusal = Refusal::new(self.kind);
        let mut response = HttpResponse::build(self.status_code());
        if let Some(secs) = refusal.retry_after_secs() {
            response.insert_header((header::RETRY_AFTER, secs));
        }
        response.json(ErrorBody::new(
            refusal,
            self.message.clone(),
            self.conflicts.clone(),
            request_id.to_owned(),
        ))
    }
}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.kind.answer().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        self.response("")
    }
}

impl From<ErrorKind> for ApiError {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, kind.message().to_owned())
    }
}

impl From<EditError> for ApiError {
    fn from(e: EditError) -> Self {
        Self {
            kind: e.kind(),
            message: e.to_string(),
            conflicts: e.conflicts().to_vec(),
        }
    }
}

impl From<SubmitError> for ApiError {
    fn from(e: SubmitError) -> Self {
        match e {
            SubmitError::Refused(e) => Self::from(e),
            SubmitError::Failed(kind) => Self::from(kind),
        }
    }
}

impl From<actix::MailboxError> for ApiError {
    /// A closed mailbox means that the controller is shutting down.
    fn from(_: actix::MailboxError) -> Self {
        Self::from(ErrorKind::ShuttingDown)
    }
}
