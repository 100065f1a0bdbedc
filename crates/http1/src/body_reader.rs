use {
    super::{ChunkedDecoder, Framing, HttpError},
    bytes::{Bytes, BytesMut},
};

/// The result of one read of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// The next bytes.
    Data(Bytes),
    /// The body is complete.
    End,
    /// More data has to be received first.
    NeedMore,
}

/// Decodes a body from the bytes of a connection.
#[derive(Clone, Copy, Debug)]
pub enum BodyReader {
    /// Body of known length, with the number of bytes left.
    Length(u64),
    /// Body in the chunked transfer coding.
    Chunked(ChunkedDecoder),
    /// Body that ends with the connection.
    UntilClose,
}

impl BodyReader {
    /// Creates a reader of a body with this framing.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Empty => Self::Length(0),
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::Chunked(ChunkedDecoder::default()),
            Framing::UntilClose => Self::UntilClose,
        }
    }

    /// Takes the next part of the body out of `buf`.
    ///
    /// # Errors
    ///
    /// [`HttpError::Malformed`] for an invalid chunked coding.
    pub fn next(
        &mut self,
        buf: &mut BytesMut,
    ) -> Result<BodyPart, HttpError> {
        match self {
            Self::Length(0) => Ok(BodyPart::End),
            Self::Length(_) | Self::UntilClose if buf.is_empty() => Ok(BodyPart::NeedMore),
            Self::Length(left) => {
                let take = (*left).min(buf.len() as u64);
                *left -= take;
                Ok(BodyPart::Data(buf.split_to(take as usize).freeze()))
            }
            Self::UntilClose => Ok(BodyPart::Data(buf.split().freeze())),
            Self::Chunked(decoder) => match decoder.next(buf)? {
                Some(data) => Ok(BodyPart::Data(data)),
                None if decoder.is_done() => Ok(BodyPart::End),
                None => Ok(BodyPart::NeedMore),
            },
        }
    }

    /// Checks whether the body may end with the connection.
    ///
    /// # Errors
    ///
    /// [`HttpError::Truncated`], unless the framing is [`Framing::UntilClose`].
    pub const fn check_close(&self) -> Result<(), HttpError> {
        match self {
            Self::UntilClose => Ok(()),
            Self::Length(_) | Self::Chunked(_) => Err(HttpError::Truncated),
        }
    }
}
