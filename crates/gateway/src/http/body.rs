use {
    crate::request::Problem,
    actix_web::web::{Bytes, BytesMut, Payload},
    futures::StreamExt,
    jasmine_conf::settings::Limits,
    jasmine_core::error::ErrorKind,
    tokio::time::{Instant, timeout_at},
};

/// Reads a request body within the limits on size and time, so that slow senders are refused.
pub(super) async fn read(
    payload: &mut Payload,
    content_length: Option<u64>,
    limits: &Limits,
    arrived: Instant,
) -> Result<Bytes, Problem> {
    if content_length.is_some_and(|bytes| bytes > limits.max_body_bytes) {
        return Err(ErrorKind::BodyTooLarge.into());
    }
    let read_deadline = arrived + limits.request_read_ms.to_std();
    let mut body = BytesMut::new();
    loop {
        let part = timeout_at(read_deadline, payload.next())
            .await
            .map_err(|_late| ErrorKind::SlowSender)?;
        match part {
            None => return Ok(body.freeze()),
            Some(Err(_)) => return Err(Problem::bad_request("The body ended early.")),
            Some(Ok(part)) if (body.len() + part.len()) as u64 > limits.max_body_bytes => {
                return Err(ErrorKind::BodyTooLarge.into());
            }
            Some(Ok(part)) => body.extend_from_slice(&part),
        }
    }
}
