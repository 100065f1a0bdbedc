use {
    super::{ChunkedDecoder, Framing, HttpError},
    bytes::{Bytes, BytesMut},
};

/// What is at hand of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Some bytes of it.
    Data(Bytes),
    /// It is over.
    End,
    /// More has to be read from the connection first.
    NeedMore,
}

/// Takes a body out of the bytes that a connection brings.
#[derive(Clone, Copy, Debug)]
pub enum BodyReader {
    /// With a length; so many bytes are left.
    Length(u64),
    /// In chunks.
    Chunked(ChunkedDecoder),
    /// Until the connection ends.
    UntilClose,
}

impl BodyReader {
    /// A reader of a body with this framing.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::Empty => Self::Length(0),
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::Chunked(ChunkedDecoder::default()),
            Framing::UntilClose => Self::UntilClose,
        }
    }

    /// Takes what is there.
    ///
    /// # Errors
    ///
    /// [`HttpError::Malformed`] where chunks are not marked off as they should be.
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

    /// What the orderly end of the connection means: the end of the body, or that it is cut off.
    ///
    /// # Errors
    ///
    /// [`HttpError::Truncated`].
    pub const fn at_close(&self) -> Result<(), HttpError> {
        match self {
            Self::UntilClose => Ok(()),
            Self::Length(_) | Self::Chunked(_) => Err(HttpError::Truncated),
        }
    }
}
