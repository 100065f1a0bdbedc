use super::{Framing, Headers, HttpError, header::collect};

/// Header lines that a request may have.
pub(super) const MAX_HEADERS: usize = 100;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Its method.
    pub method: String,
    /// Path and query as they came.
    pub target: String,
    /// The second number of its HTTP version.
    pub minor_version: u8,
    /// Its headers.
    pub headers: Headers,
    /// How its body is marked off.
    pub framing: Framing,
}

impl RequestHead {
    /// The host that it is for.
    pub fn host(&self) -> &str {
        self.headers.only("host").unwrap_or_default()
    }

    /// Whether the caller wants to go on using the connection.
    pub fn keeps_connection(&self) -> bool {
        self.minor_version == 1 && !self.headers.lists("connection", "close")
    }

    /// Whether the caller waits for a word before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.headers.lists("expect", "100-continue")
    }
}

/// Reads the head at the start of `buf` and says how many bytes it has; none while it isn't all there.
///
/// # Errors
///
/// [`HttpError::HeadTooLarge`] beyond `max` bytes, [`HttpError::Malformed`] for whatever two readers could
/// understand in two ways.
pub fn parse_request_head(
    buf: &[u8],
    max: usize,
) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let Some(len) = head_len(buf, max)? else {
        return Ok(None);
    };
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    match parsed.parse(&buf[..len]) {
        Ok(httparse::Status::Complete(end)) if end == len => {}
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        _ => return Err(HttpError::Malformed),
    }
    let (Some(method), Some(target), Some(minor_version)) =
        (parsed.method, parsed.path, parsed.version)
    else {
        return Err(HttpError::Malformed);
    };
    let headers = collect(parsed.headers);
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

/// The length of the head at the start of `buf`, with the empty line at its end.
///
/// Line ends are checked here: the parser also takes a line feed alone, which others read as part of a value.
pub(super) fn head_len(
    buf: &[u8],
    max: usize,
) -> Result<Option<usize>, HttpError> {
    let end = buf.windows(4).position(|four| four == b"\r\n\r\n");
    let head = end.map_or(buf, |end| &buf[..end + 4]);
    if head.len() > max {
        return Err(HttpError::HeadTooLarge);
    }
    let mut before = 0;
    for (at, &byte) in head.iter().enumerate() {
        let follows = head.get(at + 1);
        let is_bare = match byte {
            b'\n' => before != b'\r',
            b'\r' => follows.is_some_and(|&next| next != b'\n'),
            _ => false,
        };
        if is_bare {
            return Err(HttpError::Malformed);
        }
        before = byte;
    }
    Ok(end.map(|end| end + 4))
}
