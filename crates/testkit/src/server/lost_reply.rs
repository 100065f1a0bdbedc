use {
    actix_web::{HttpResponse, error::PayloadError},
    bytes::Bytes,
    futures::stream,
    std::time::{SystemTime, UNIX_EPOCH},
};

/// A response whose connection is closed before any byte is sent.
pub(crate) fn lost_reply() -> HttpResponse {
    let body = stream::once(async { Err::<Bytes, _>(PayloadError::Incomplete(None)) });
    HttpResponse::Ok().streaming(body)
}

/// Unix time in milliseconds, comparable across processes.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
