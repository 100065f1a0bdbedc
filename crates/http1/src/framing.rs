use super::{Headers, HttpError, Status, StatusClass};

/// Most digits of a `Content-Length`.
const MAX_DIGITS: usize = 18;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is in the chunked transfer coding.
    Chunked,
    /// The body ends with the connection; responses only.
    UntilClose,
}

impl Framing {
    /// Determines the framing of a request.
    ///
    /// # Errors
    ///
    /// [`HttpError::Malformed`] if the framing is ambiguous: several lengths, a length with a transfer coding, a
    /// length that isn't plain digits, or a transfer coding other than `chunked`.
    pub fn of_request(
        headers: &Headers,
        minor_version: u8,
    ) -> Result<Self, HttpError> {
        match (is_chunked(headers)?, length(headers)?) {
            (true, Some(_)) => Err(HttpError::Malformed),
            (true, None) if minor_version == 0 => Err(HttpError::Malformed),
            (true, None) => Ok(Self::Chunked),
            (false, Some(0) | None) => Ok(Self::Empty),
            (false, Some(length)) => Ok(Self::Length(length)),
        }
    }

    /// Determines the framing of a response to a `method` request.
    ///
    /// # Errors
    ///
    /// [`HttpError::Malformed`] if the framing is ambiguous, as for requests, also where there is no body;
    /// [`HttpError::InterimBody`] for an interim response with one.
    pub fn of_response(
        headers: &Headers,
        status: Status,
        method: &str,
        minor_version: u8,
    ) -> Result<Self, HttpError> {
        let is_interim = status.class() == StatusClass::Interim;
        let has_no_body = is_interim || method == "HEAD" || matches!(status.code(), 204 | 304);
        match (is_chunked(headers)?, length(headers)?) {
            (true, Some(_)) => Err(HttpError::Malformed),
            (true, None) if minor_version == 0 => Err(HttpError::Malformed),
            (true, None) | (false, Some(1..)) if is_interim => Err(HttpError::InterimBody),
            _ if has_no_body => Ok(Self::Empty),
            (true, None) => Ok(Self::Chunked),
            (false, Some(0)) => Ok(Self::Empty),
            (false, Some(length)) => Ok(Self::Length(length)),
            (false, None) => Ok(Self::UntilClose),
        }
    }
}

fn is_chunked(headers: &Headers) -> Result<bool, HttpError> {
    let mut codings = headers.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(HttpError::Malformed),
    }
}

fn length(headers: &Headers) -> Result<Option<u64>, HttpError> {
    let mut lengths = headers.all("content-length");
    let Some(digits) = lengths.next() else {
        return Ok(None);
    };
    let digits = digits.trim_ascii();
    let is_plain = !digits.is_empty()
        && digits.len() <= MAX_DIGITS
        && digits.iter().all(u8::is_ascii_digit)
        && lengths.next().is_none();
    let text = std::str::from_utf8(digits).map_err(|_e| HttpError::Malformed)?;
    match text.parse() {
        Ok(length) if is_plain => Ok(Some(length)),
        _ => Err(HttpError::Malformed),
    }
}
