use {
    super::{BodyPart, BodyReader, HttpError, ResponseHeadReader},
    bytes::BytesMut,
};

/// What the next bytes of a connection are.
#[derive(Clone, Copy, Debug)]
enum State {
    /// None, as no request was sent since the last response.
    Idle,
    /// The head of a response.
    Head {
        heads: ResponseHeadReader,
        /// The method of the request, as far as responses depend on it.
        method: &'static str,
    },
    /// The body of a response.
    Body(BodyReader),
    /// The connection had bytes that are no response.
    Failed(HttpError),
}

/// Separates the bytes of acceptable responses from all others on a connection with one exchange at a time.
///
/// Interim responses are dropped.
#[derive(Debug)]
pub struct ResponseCheck {
    state: State,
    /// Received and not checked.
    received: BytesMut,
}

impl Default for ResponseCheck {
    fn default() -> Self {
        Self {
            state: State::Idle,
            received: BytesMut::new(),
        }
    }
}

impl ResponseCheck {
    /// Notes bytes that are sent: the first ones after a response, or of all, begin a request.
    pub fn note_sent(
        &mut self,
        bytes: &[u8],
    ) {
        // A client may take a body without a length for an empty one, and use the connection again.
        if matches!(
            self.state,
            State::Idle | State::Body(BodyReader::UntilClose)
        ) {
            self.state = State::Head {
                heads: ResponseHeadReader::default(),
                method: if bytes.starts_with(b"HEAD ") {
                    "HEAD"
                } else {
                    "GET"
                },
            };
        }
    }

    /// Why the connection can't be read any more, if it had bytes that are no response or that follow one.
    pub const fn error(&self) -> Option<HttpError> {
        match self.state {
            State::Failed(e) => Some(e),
            State::Idle | State::Head { .. } | State::Body(_) => None,
        }
    }

    /// Takes received bytes and appends those to `checked` that belong to an acceptable response.
    ///
    /// A head is appended as a whole. Bytes behind a response are an error from the next call on.
    ///
    /// # Errors
    ///
    /// [`HttpError`], now and from then on, if the bytes are no response; `checked` must not be used then.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        checked: &mut BytesMut,
    ) -> Result<(), HttpError> {
        self.received.extend_from_slice(bytes);
        self.advance(checked)
            .inspect_err(|e| self.state = State::Failed(*e))
    }

    /// Notes the end of the connection.
    ///
    /// # Errors
    ///
    /// [`HttpError::Truncated`] inside a head or a body whose framing tells where it ends.
    pub fn close(&self) -> Result<(), HttpError> {
        match &self.state {
            State::Idle => Ok(()),
            State::Head { .. } if self.received.is_empty() => Ok(()),
            State::Head { .. } => Err(HttpError::Truncated),
            State::Body(reader) => reader.check_close(),
            State::Failed(e) => Err(*e),
        }
    }

    fn advance(
        &mut self,
        checked: &mut BytesMut,
    ) -> Result<(), HttpError> {
        loop {
            match &mut self.state {
                State::Failed(e) => return Err(*e),
                State::Idle if self.received.is_empty() => return Ok(()),
                State::Idle if checked.is_empty() => return Err(HttpError::Surplus),
                State::Idle => {
                    self.state = State::Failed(HttpError::Surplus);
                    return Ok(());
                }
                State::Head { heads, method } => {
                    let Some((head, len)) = heads.next(&mut self.received, method)? else {
                        return Ok(());
                    };
                    checked.extend_from_slice(&self.received.split_to(len));
                    self.state = State::Body(BodyReader::new(head.framing));
                }
                State::Body(reader) => {
                    checked.extend_from_slice(&self.received);
                    let has_ended = loop {
                        match reader.next(&mut self.received)? {
                            BodyPart::Data(_) => {}
                            BodyPart::NeedMore => break false,
                            BodyPart::End => break true,
                        }
                    };
                    checked.truncate(checked.len() - self.received.len());
                    if !has_ended {
                        return Ok(());
                    }
                    self.state = State::Idle;
                }
            }
        }
    }
}
