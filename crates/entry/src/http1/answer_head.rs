use super::{
    Framing, Headers, HttpError,
    header::collect,
    request_head::{MAX_HEADERS, head_len},
};

/// Bytes of an answer's head that are taken.
const MAX_HEAD: usize = 64 << 10;

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Its status.
    pub status: u16,
    /// What stands beside the status.
    pub reason: String,
    /// Its headers.
    pub headers: Headers,
    /// How its body is marked off.
    pub framing: Framing,
    /// Whether the upstream goes on using the connection.
    pub keeps_connection: bool,
}

/// Reads the head of an answer to a request with method `method` at the start of `buf`, and says how many
/// bytes it has; none while it isn't all there.
///
/// # Errors
///
/// [`HttpError`], where it is no answer.
pub fn parse_answer_head(
    buf: &[u8],
    method: &str,
) -> Result<Option<(AnswerHead, usize)>, HttpError> {
    let Some(len) = head_len(buf, MAX_HEAD)? else {
        return Ok(None);
    };
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    match parsed.parse(&buf[..len]) {
        Ok(httparse::Status::Complete(end)) if end == len => {}
        _ => return Err(HttpError::Malformed),
    }
    let (Some(status), Some(minor_version)) = (parsed.code, parsed.version) else {
        return Err(HttpError::Malformed);
    };
    let headers = collect(parsed.headers);
    let framing = Framing::of_answer(&headers, status, method)?;
    let keeps_connection = minor_version == 1
        && framing != Framing::UntilClose
        && !headers.lists("connection", "close");
    let head = AnswerHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        headers,
        framing,
        keeps_connection,
    };
    Ok(Some((head, len)))
}
