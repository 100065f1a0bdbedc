use {bytes::BytesMut, std::mem};

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An error of an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum SseError {
    /// An event exceeds the maximum size.
    #[display("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// A line is not UTF-8.
    #[display("an event is not UTF-8")]
    NotUtf8,
}

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, if present.
    pub id: Option<String>,
    /// Values of the `data` fields, joined by line feeds.
    pub data: String,
}

/// Decodes server-sent events incrementally.
///
/// Lines end with LF or CRLF. Comments and fields other than `id` and `data` are ignored.
#[derive(Clone, Debug, Default)]
pub struct Decoder {
    buf: BytesMut,
    /// Length of the start of `buf` that is known to contain no line end.
    searched_len: usize,
    event: Event,
    has_data: bool,
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(
        &mut self,
        bytes: &[u8],
    ) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    ///
    /// # Errors
    ///
    /// [`SseError`] if the stream is malformed; it must not be read further.
    pub fn next_event(&mut self) -> Result<Option<Event>, SseError> {
        while let Some(line) = self.next_line()? {
            match line.split_once(':').unwrap_or((&line, "")) {
                ("", "") if line.is_empty() => {
                    let event = mem::take(&mut self.event);
                    if mem::take(&mut self.has_data) {
                        return Ok(Some(event));
                    }
                }
                ("data", value) => self.add_data(value.strip_prefix(' ').unwrap_or(value))?,
                ("id", value) => {
                    self.event.id = Some(value.strip_prefix(' ').unwrap_or(value).to_owned());
                }
                _ => {}
            }
        }
        Ok(None)
    }

    fn add_data(
        &mut self,
        value: &str,
    ) -> Result<(), SseError> {
        if self.event.data.len() + value.len() > MAX_EVENT_BYTES {
            return Err(SseError::TooLarge);
        }
        if mem::replace(&mut self.has_data, true) {
            self.event.data.push('\n');
        }
        self.event.data.push_str(value);
        Ok(())
    }

    fn next_line(&mut self) -> Result<Option<String>, SseError> {
        let end = self.buf[self.searched_len..]
            .iter()
            .position(|&b| b == b'\n');
        let Some(end) = end else {
            self.searched_len = self.buf.len();
            return if self.buf.len() > MAX_EVENT_BYTES {
                Err(SseError::TooLarge)
            } else {
                Ok(None)
            };
        };
        let mut line = self.buf.split_to(self.searched_len + end + 1);
        self.searched_len = 0;
        line.truncate(line.len() - 1);
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        match std::str::from_utf8(&line) {
            Ok(line) => Ok(Some(line.to_owned())),
            Err(_) => Err(SseError::NotUtf8),
        }
    }
}
