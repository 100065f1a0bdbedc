//! What every request passes: its id, the operators' token, and errors in one shape.

use {
    super::ApiError,
    actix_web::{
        Error,
        body::{EitherBody, MessageBody},
        dev::{ServiceRequest, ServiceResponse},
        http::header::{self, HeaderName, HeaderValue},
        middleware::Next,
        web,
    },
    jasmine_conf::{hex, settings::OperatorsSettings},
    jasmine_core::error::ErrorKind,
    jasmine_telemetry::log::Line,
};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Characters of a request id that is taken over from the caller.
const MAX_REQUEST_ID: usize = 64;

/// Checks the token, then lets the request through and gives every error the same shape.
pub(super) async fn guard<B>(
    req: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<EitherBody<B>>, Error>
where
    B: MessageBody + 'static,
{
    let name = request_name(&req);
    let asked = format!("{} {}", req.method(), req.path());
    let mut response = match check_token(&req) {
        Ok(()) => next.call(req).await?.map_into_left_body(),
        Err(e) => req.into_response(e.response(&name)).map_into_right_body(),
    };
    let error = response
        .response()
        .error()
        .and_then(|e| e.as_error::<ApiError>())
        .cloned();
    if let Some(e) = error {
        response = response
            .into_response(e.response(&name))
            .map_into_right_body();
    }
    // The path holds names of the tree; a token or a key is in no part of it.
    Line::new("operator_request")
        .with("request_id", &name)
        .with("asked", asked)
        .with("status", response.status().as_u16())
        .info();
    if let Ok(value) = HeaderValue::from_str(&name) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    Ok(response)
}

fn request_name(req: &ServiceRequest) -> String {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    let given = req
        .headers()
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .filter(|name| (1..=MAX_REQUEST_ID).contains(&name.len()) && name.bytes().all(allowed));
    match given {
        Some(name) => name.to_owned(),
        None => hex::encode(&rand::random::<[u8; 12]>()),
    }
}

fn check_token(req: &ServiceRequest) -> Result<(), ApiError> {
    let token = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let operators = req.app_data::<web::Data<OperatorsSettings>>();
    match (token, operators) {
        (None, _) => Err(ApiError::new(
            ErrorKind::KeyMissing,
            "No operators' token came with the request.".to_owned(),
        )),
        (Some(token), Some(operators)) if operators.accepts(token.trim()) => Ok(()),
        (Some(_), _) => Err(ApiError::new(
            ErrorKind::KeyUnknown,
            "The token is not one of the operators'.".to_owned(),
        )),
    }
}
