use {
    actix_web::{HttpResponse, error::PayloadError},
    bytes::Bytes,
    futures::stream,
    std::time::{SystemTime, UNIX_EPOCH},
};

/// An answer whose body fails before a byte is sent, so that the connection closes without a reply.
pub(crate) fn lost_reply() -> HttpResponse {
    let body = stream::once(async { Err::<Bytes, _>(PayloadError::Incomplete(None)) });
    HttpResponse::Ok().streaming(body)
}

/// Milliseconds since the Unix epoch: the one clock that records of several processes share.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
