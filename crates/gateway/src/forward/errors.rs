use {
    crate::request::{Problem, RequestName},
    serde_json::{Value, json},
};

/// Returns the JSON body of an error response.
pub fn error_body(
    problem: &Problem,
    request: &RequestName,
) -> Value {
    let kind = problem.refusal.kind;
    let answer = kind.answer();
    let message = match problem.detail {
        "" => kind.message().to_owned(),
        detail => format!("{} {detail}", kind.message()),
    };
    let error_type = match answer.status {
        401 => "authentication_error",
        403 => "permission_error",
        404 => "not_found_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    let retry_after = problem.refusal.retry_after_secs().map(|secs| {
        problem
            .refusal
            .retry_after
            .map_or(secs * 1000, |delay| delay.0)
    });
    json!({"error": {
        "message": message,
        "type": error_type,
        "code": answer.code,
        "param": null,
        "execution": answer.execution.to_string(),
        "request_id": request.as_str(),
        "retry_after_ms": retry_after,
    }})
}
