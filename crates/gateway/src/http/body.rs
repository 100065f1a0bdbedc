use {
    crate::request::Problem,
    actix_web::web::{Bytes, BytesMut, Payload},
    futures::StreamExt,
    jasmine_conf::settings::Limits,
    jasmine_core::error::ErrorKind,
    tokio::time::{Instant, timeout_at},
};

/// Reads a body within the bounds of size and time.
///
/// A sender that trickles its body would otherwise hold a place for ever.
pub(super) async fn read(
    payload: &mut Payload,
    announced: Option<u64>,
    limits: &Limits,
    arrived: Instant,
) -> Result<Bytes, Problem> {
    if announced.is_some_and(|bytes| bytes > limits.max_body_bytes) {
        return Err(ErrorKind::BodyTooLarge.into());
    }
    let until = arrived + limits.request_read_ms.to_std();
    let mut body = BytesMut::new();
    loop {
        let part = timeout_at(until, payload.next())
            .await
            .map_err(|_late| ErrorKind::SlowSender)?;
        match part {
            None => return Ok(body.freeze()),
            Some(Err(_)) => return Err(Problem::bad_request("The body broke off.")),
            Some(Ok(part)) if (body.len() + part.len()) as u64 > limits.max_body_bytes => {
                return Err(ErrorKind::BodyTooLarge.into());
            }
            Some(Ok(part)) => body.extend_from_slice(&part),
        }
    }
}
