use super::{Framing, HeadScanner, Headers, HttpError, header::copy_headers};

/// Most header lines of a message.
pub(super) const MAX_HEADERS: usize = 100;

/// The parsed head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// The minor HTTP version.
    pub minor_version: u8,
    /// The header lines.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
}

impl RequestHead {
    /// The value of the `Host` header; empty without one.
    pub fn host(&self) -> &str {
        self.headers.single("host").unwrap_or_default()
    }

    /// Whether the caller keeps the connection open.
    pub fn keeps_connection(&self) -> bool {
        self.minor_version == 1 && !self.headers.has_element("connection", "close")
    }

    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.headers.has_element("expect", "100-continue")
    }
}

/// Parses the head of a request at the start of `buf`.
///
/// Returns the head and its length in bytes, or none if it is incomplete; `scanner` is that of the last call on `buf`.
///
/// # Errors
///
/// [`HttpError::HeadTooLarge`] beyond `max` bytes, [`HttpError::Malformed`] for invalid or ambiguous heads.
pub fn parse_request_head(
    buf: &[u8],
    max: usize,
    scanner: &mut HeadScanner,
) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let Some(len) = scanner.head_len(buf, max)? else {
        return Ok(None);
    };
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    match parsed.parse(&buf[..len]) {
        Ok(httparse::Status::Complete(end)) if end == len => {}
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(e) => return Err(HttpError::Line(e)),
        Ok(_) => return Err(HttpError::Malformed),
    }
    let (Some(method), Some(target), Some(minor_version)) =
        (parsed.method, parsed.path, parsed.version)
    else {
        return Err(HttpError::Malformed);
    };
    let headers = copy_headers(parsed.headers);
    let has_one_host = headers.all("host").count() == 1;
    if !target.starts_with('/') || (minor_version == 1 && !has_one_host) {
        return Err(HttpError::Malformed);
    }
    let framing = Framing::of_request(&headers, minor_version)?;
    let head = RequestHead {
        method: method.to_owned(),
        target: target.to_owned(),
        minor_version,
        headers,
        framing,
    };
    Ok(Some((head, len)))
}
