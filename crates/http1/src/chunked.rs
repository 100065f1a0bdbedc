use {
    super::HttpError,
    bytes::{Buf, Bytes, BytesMut},
    std::mem,
};

/// The longest chunk-size line, in bytes.
const MAX_SIZE_LINE: usize = 64;
/// Most bytes of trailers, which are checked and dropped.
const MAX_TRAILERS: usize = 8 << 10;
/// Most hexadecimal digits of a chunk size.
const MAX_DIGITS: usize = 15;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    Data(u64),
    DataEnd,
    Trailers(usize),
    Done,
}

/// Decodes the chunked transfer coding.
#[derive(Clone, Copy, Debug)]
pub struct ChunkedDecoder {
    state: State,
    /// Bytes of the next line that were searched for its end.
    searched: usize,
}

impl Default for ChunkedDecoder {
    fn default() -> Self {
        Self {
            state: State::Size,
            searched: 0,
        }
    }
}

impl ChunkedDecoder {
    /// Takes the next bytes of the body out of `buf`; none if it is complete or more data is needed.
    ///
    /// # Errors
    ///
    /// [`HttpError::Malformed`] for an invalid chunked coding, [`HttpError::Trailer`] for trailers or chunk extensions
    /// that are malformed.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
    ) -> Result<Option<Bytes>, HttpError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Data(left) => {
                    if buf.is_empty() {
                        return Ok(None);
                    }
                    let take = left.min(buf.len() as u64);
                    self.state = match left - take {
                        0 => State::DataEnd,
                        left => State::Data(left),
                    };
                    return Ok(Some(buf.split_to(take as usize).freeze()));
                }
                State::DataEnd => {
                    if buf.len() < 2 {
                        return Ok(None);
                    }
                    if &buf[..2] != b"\r\n" {
                        return Err(HttpError::Malformed);
                    }
                    buf.advance(2);
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = self.take_line(buf, MAX_SIZE_LINE)? else {
                        return Ok(None);
                    };
                    self.state = match parse_size(&line)? {
                        0 => State::Trailers(0),
                        size => State::Data(size),
                    };
                }
                State::Trailers(seen) => {
                    let Some(line) = self.take_line(buf, MAX_TRAILERS)? else {
                        return Ok(None);
                    };
                    let seen = seen + line.len();
                    self.state = match line.is_empty() {
                        true => State::Done,
                        false if seen > MAX_TRAILERS => return Err(HttpError::Malformed),
                        false if !is_field_line(&line) => return Err(HttpError::Trailer),
                        false => State::Trailers(seen),
                    };
                }
            }
        }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes a complete line out of `buf`, without CRLF; none if more data is needed.
    fn take_line(
        &mut self,
        buf: &mut BytesMut,
        max: usize,
    ) -> Result<Option<Bytes>, HttpError> {
        let searched = mem::take(&mut self.searched);
        let found = buf[searched..].iter().position(|&byte| byte == b'\n');
        let Some(end) = found.map(|at| searched + at) else {
            self.searched = buf.len();
            return if buf.len() > max {
                Err(HttpError::Malformed)
            } else {
                Ok(None)
            };
        };
        let is_whole = end > 0 && end <= max + 1 && buf[end - 1] == b'\r';
        if !is_whole || buf[..end - 1].contains(&b'\r') {
            return Err(HttpError::Malformed);
        }
        let line = buf.split_to(end + 1).freeze();
        Ok(Some(line.slice(..end - 1)))
    }
}

/// Whether a line is a header line: a name that is a token, and a value without control characters.
fn is_field_line(line: &[u8]) -> bool {
    let mut one = [httparse::EMPTY_HEADER; 1];
    let block = [line, b"\r\n\r\n"].concat();
    matches!(
        httparse::parse_headers(&block, &mut one),
        Ok(httparse::Status::Complete((len, [_]))) if len == block.len()
    )
}

/// Parses a chunk size; chunk extensions may say anything in visible characters.
fn parse_size(line: &[u8]) -> Result<u64, HttpError> {
    let is_control = |byte: &u8| byte.is_ascii_control() && *byte != b'\t';
    if line.iter().any(is_control) {
        return Err(HttpError::Trailer);
    }
    let digits = line.split(|&byte| byte == b';').next().unwrap_or_default();
    let is_plain = !digits.is_empty()
        && digits.len() <= MAX_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_e| HttpError::Malformed)?;
    match u64::from_str_radix(text, 16) {
        Ok(size) if is_plain => Ok(size),
        _ => Err(HttpError::Malformed),
    }
}
