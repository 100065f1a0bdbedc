//! Middleware for request ids, token checks and a uniform error format.

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

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
/// Longest accepted request id from a client, in characters.
const MAX_REQUEST_ID_LEN: usize = 64;

/// Checks the token, calls the handler and adds the request id to errors and headers.
pub(super) async fn guard<B>(
    req: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<EitherBody<B>>, Error>
where
    B: MessageBody + 'static,
{
    let request_id = request_id_of(&req);
    let method_and_path = format!("{} {}", req.method(), req.path());
    let mut response = match check_token(&req) {
        Ok(()) => next.call(req).await?.map_into_left_body(),
        Err(e) => req
            .into_response(e.response(&request_id))
            .map_into_right_body(),
    };
    let error = response
        .response()
        .error()
        .and_then(|e| e.as_error::<ApiError>())
        .cloned();
    if let Some(e) = error {
        response = response
            .into_response(e.response(&request_id))
            .map_into_right_body();
    }
    // Safe to log: paths contain tree names but no tokens or keys.
    Line::new("operator_request")
        .with("request_id", &request_id)
        .with("asked", method_and_path)
        .with("status", response.status().as_u16())
        .info();
    if let Ok(value) = HeaderValue::from_str(&request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    Ok(response)
}

fn request_id_of(req: &ServiceRequest) -> String {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-');
    let given = req
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|name| (1..=MAX_REQUEST_ID_LEN).contains(&name.len()) && name.bytes().all(allowed));
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
            "The request has no bearer token of an operator.".to_owned(),
        )),
        (Some(token), Some(operators)) if operators.accepts(token.trim()) => Ok(()),
        (Some(_), _) => Err(ApiError::new(
            ErrorKind::KeyUnknown,
            "The bearer token is not valid for operators.".to_owned(),
        )),
    }
}
