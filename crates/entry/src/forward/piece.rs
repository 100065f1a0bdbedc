use {
    super::{failure::Failure, stream_reader::EventBatch},
    crate::http1::ResponseHead,
    bytes::Bytes,
    jasmine_core::error::ErrorKind,
    std::rc::Rc,
};

/// A part of an answer that can be passed on to the caller.
#[derive(Debug)]
pub(super) enum Piece {
    /// The head of an answer was received: its upstream works on the request.
    Begun,
    /// Complete events of a stream that the caller has not got yet.
    Events(Rc<ResponseHead>, EventBatch),
    /// The end of a complete stream.
    End(Rc<ResponseHead>),
    /// A whole response.
    Whole(ResponseHead, Bytes),
}

impl Piece {
    /// Bytes of the body in it.
    pub(super) fn len(&self) -> u64 {
        match self {
            Self::Events(_, batch) => batch.bytes.len() as u64,
            Self::Whole(_, body) => body.len() as u64,
            Self::Begun | Self::End(_) => 0,
        }
    }

    /// Whether nothing follows it.
    pub(super) const fn is_last(&self) -> bool {
        match self {
            Self::Begun | Self::Events(..) => false,
            Self::End(_) | Self::Whole(..) => true,
        }
    }
}

/// Why an attempt yields no further piece.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// It has failed.
    Failed(Failure),
    /// Nothing was sent, nor should it be.
    Refused(ErrorKind),
}

impl From<Failure> for AttemptError {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}
