//! Answers: in one piece, as a stream, as an error.

use {
    super::shared::Shared,
    crate::{
        forward::{Answer, error_body},
        request::{Problem, RequestName},
    },
    actix_web::{
        HttpResponse, HttpResponseBuilder,
        http::{
            StatusCode,
            header::{CACHE_CONTROL, CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE},
        },
    },
    futures::stream,
};

/// The header under which every answer names its request.
pub(super) const REQUEST_ID: &str = "x-request-id";
/// The header that names the adapter version which ran.
const ADAPTER: &str = "x-jasmine-adapter";

/// An answer that has begun, or is there as a whole.
pub(super) fn answer_response(
    shared: &Shared,
    name: &RequestName,
    adapter: Option<&str>,
    answer: Answer,
) -> HttpResponse {
    match answer {
        Answer::Buffered(whole) => {
            let mut res = response_builder(shared, whole.status, name, adapter);
            for (header, value) in &whole.headers {
                res.append_header((header.clone(), value.clone()));
            }
            res.body(whole.body)
        }
        Answer::Stream(rx) => {
            let parts = stream::unfold(rx, |mut rx| async move {
                rx.recv().await.map(|part| (part, rx))
            });
            response_builder(shared, StatusCode::OK, name, adapter)
                .insert_header((CONTENT_TYPE, "text/event-stream"))
                .insert_header((CACHE_CONTROL, "no-store"))
                .streaming(parts)
        }
    }
}

/// An error, counted by its kind.
pub(super) fn error_response(
    shared: &Shared,
    name: &RequestName,
    account: &str,
    problem: &Problem,
) -> HttpResponse {
    let kind = problem.refusal.kind;
    shared.refusals.count(kind, account);
    let status =
        StatusCode::from_u16(kind.answer().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut res = response_builder(shared, status, name, None);
    if let Some(secs) = problem.refusal.retry_after_secs() {
        res.insert_header((RETRY_AFTER, secs.to_string()));
    }
    if status == StatusCode::UNAUTHORIZED {
        res.insert_header((WWW_AUTHENTICATE, "Bearer"));
    }
    res.json(error_body(problem, name))
}

fn response_builder(
    shared: &Shared,
    status: StatusCode,
    name: &RequestName,
    adapter: Option<&str>,
) -> HttpResponseBuilder {
    let mut res = HttpResponse::build(status);
    res.insert_header((REQUEST_ID, name.as_str()));
    if let Some(adapter) = adapter {
        res.insert_header((ADAPTER, adapter));
    }
    if shared.readiness.is_draining() {
        // A kept connection would bring the next request to a daemon that is about to stop.
        res.force_close();
    }
    res
}
