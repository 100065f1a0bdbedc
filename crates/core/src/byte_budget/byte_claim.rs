use {super::byte_limits::MAX_SMALL_BYTES, std::net::SocketAddr};

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteUse {
    /// The body of a caller's request.
    Request,
    /// An answer of an upstream that is read as a whole.
    Answer(SocketAddr),
    /// A part of an answer that is read while its caller takes an earlier one.
    ReadAhead,
}

impl ByteUse {
    /// Its name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Answer(_) => "answer",
            Self::ReadAhead => "read_ahead",
        }
    }
}

/// Bytes that an exchange holds or wants to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteClaim {
    /// What for.
    pub use_: ByteUse,
    /// How many.
    pub bytes: u64,
}

/// The parts of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pool {
    Requests,
    Answers,
    Small,
}

impl ByteClaim {
    pub(super) const fn pool(self) -> Pool {
        match self.use_ {
            ByteUse::ReadAhead => Pool::Answers,
            _ if self.bytes <= MAX_SMALL_BYTES => Pool::Small,
            ByteUse::Request => Pool::Requests,
            ByteUse::Answer(_) => Pool::Answers,
        }
    }
}
