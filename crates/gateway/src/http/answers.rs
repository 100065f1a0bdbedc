//! HTTP responses: buffered, streamed and errors.

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

/// Header with the request id, present in every response.
pub(super) const REQUEST_ID: &str = "x-request-id";
/// Header with the adapter version that was used.
const ADAPTER_VERSION: &str = "x-jasmine-adapter";

/// Builds the response of a successful request.
pub(super) fn answer_response(
    shared: &Shared,
    name: &RequestName,
    adapter: Option<&str>,
    answer: Answer,
) -> HttpResponse {
    match answer {
        Answer::Buffered(buffered) => {
            let mut res = response_builder(shared, buffered.status, name, adapter);
            for (header, value) in &buffered.headers {
                res.append_header((header.clone(), value.clone()));
            }
            res.body(buffered.body)
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

/// Builds an error response and counts the refusal.
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
        res.insert_header((ADAPTER_VERSION, adapter));
    }
    if shared.readiness.is_draining() {
        // A kept-alive connection would send its next request to a daemon that is shutting down.
        res.force_close();
    }
    res
}
