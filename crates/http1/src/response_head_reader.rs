use {
    super::{HeadScanner, HttpError, ResponseHead, StatusClass, parse_response_head},
    bytes::{Buf, BytesMut},
};

/// Most interim responses (1xx) before a response; servers send one or a few.
pub const MAX_INTERIM_RESPONSES: u32 = 32;

/// Reads the heads of the responses to one request, past interim ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseHeadReader {
    scanner: HeadScanner,
    /// Interim responses that were skipped.
    interim: u32,
}

impl ResponseHeadReader {
    /// Parses the next head in `buf`, which is that of a response to a `method` request; none if it is incomplete.
    ///
    /// Returns it with its length in bytes, which stay in `buf`; interim responses before it are taken out.
    ///
    /// # Errors
    ///
    /// As [`parse_response_head`], and [`HttpError::EndlessInterim`].
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
        method: &str,
    ) -> Result<Option<(ResponseHead, usize)>, HttpError> {
        while let Some((head, len)) = parse_response_head(buf, method, &mut self.scanner)? {
            match head.status.class() {
                StatusClass::Interim if self.interim == MAX_INTERIM_RESPONSES => {
                    return Err(HttpError::EndlessInterim(MAX_INTERIM_RESPONSES));
                }
                StatusClass::Interim => {
                    self.interim += 1;
                    buf.advance(len);
                }
                _ => return Ok(Some((head, len))),
            }
        }
        Ok(None)
    }
}
