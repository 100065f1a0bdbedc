use super::HttpError;

/// The empty line at the end of a head, with the end of the line before it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Finds the end of a head in a buffer that grows.
///
/// Each byte is looked at once: a peer that sends a head in small pieces would otherwise cost time that is quadratic in
/// the largest head.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScanner {
    /// Bytes that were looked at.
    looked: usize,
}

impl HeadScanner {
    /// Returns the length of the head at the start of `buf`, including the empty line at its end.
    ///
    /// `buf` begins with the bytes of the last call, unless that found an end. Rejects bare CR and LF: `httparse` accepts a bare LF as a line
    /// end, which other parsers don't.
    ///
    /// # Errors
    ///
    /// [`HttpError::HeadTooLarge`] beyond `max` bytes, [`HttpError::Malformed`] for a bare CR or LF.
    pub fn head_len(
        &mut self,
        buf: &[u8],
        max: usize,
    ) -> Result<Option<usize>, HttpError> {
        while let Some(&byte) = buf.get(self.looked) {
            let end = self.looked + 1;
            match (byte, buf.get(end)) {
                _ if end > max => return Err(HttpError::HeadTooLarge),
                (b'\r', None) => return Ok(None),
                (b'\r', Some(&next)) if next != b'\n' => return Err(HttpError::Malformed),
                (b'\n', _) if !buf[..self.looked].ends_with(b"\r") => {
                    return Err(HttpError::Malformed);
                }
                (b'\n', _) if buf[..end].ends_with(HEAD_END) => {
                    self.looked = 0;
                    return Ok(Some(end));
                }
                _ => self.looked = end,
            }
        }
        Ok(None)
    }
}
