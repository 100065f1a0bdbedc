use super::{
    Framing, HeadScanner, Headers, HttpError, Status, header::copy_headers,
    request_head::MAX_HEADERS,
};

/// The largest head accepted, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// The parsed head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: Status,
    /// The reason phrase.
    pub reason: String,
    /// The header lines.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the upstream keeps the connection open.
    pub keeps_connection: bool,
}

/// Parses the head of a response to a `method` request at the start of `buf`.
///
/// Returns the head and its length in bytes, or none if it is incomplete; `scanner` is that of the last call on `buf`.
/// An acceptable head has a version 1.0 or 1.1, a [`Status`], names that are tokens, values without control characters
/// and lines that end with CRLF; its framing is unambiguous, and it doesn't switch protocols.
///
/// # Errors
///
/// [`HttpError`] for any other head; nothing that it states may be used.
pub fn parse_response_head(
    buf: &[u8],
    method: &str,
    scanner: &mut HeadScanner,
) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let Some(len) = scanner.head_len(buf, MAX_HEAD)? else {
        return Ok(None);
    };
    // `httparse` skips empty lines before the status line.
    if buf.starts_with(b"\r") {
        return Err(HttpError::Malformed);
    }
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    match parsed.parse(&buf[..len]) {
        Ok(httparse::Status::Complete(end)) if end == len => {}
        Err(e) => return Err(HttpError::Line(e)),
        Ok(_) => return Err(HttpError::Malformed),
    }
    let (Some(code), Some(minor_version)) = (parsed.code, parsed.version) else {
        return Err(HttpError::Malformed);
    };
    let status = Status::new(code).ok_or(HttpError::Status(code))?;
    // No request offers another protocol.
    if status == Status::SWITCHING_PROTOCOLS {
        return Err(HttpError::Upgrade);
    }
    let headers = copy_headers(parsed.headers);
    let framing = Framing::of_response(&headers, status, method, minor_version)?;
    let keeps_connection = minor_version == 1
        && framing != Framing::UntilClose
        && !headers.has_element("connection", "close");
    let head = ResponseHead {
        status,
        reason: parsed.reason.unwrap_or_default().to_owned(),
        headers,
        framing,
        keeps_connection,
    };
    Ok(Some((head, len)))
}
