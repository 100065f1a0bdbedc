/// Why an HTTP message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum HttpError {
    /// It is not HTTP/1.x, or its framing is ambiguous.
    #[display("malformed or ambiguous message")]
    Malformed,
    /// A line of its head doesn't follow the grammar.
    #[display("malformed head: {_0}")]
    Line(#[error(not(source))] httparse::Error),
    /// Its status is in no class.
    #[display("status {_0:03}, expected 100 to 599")]
    Status(#[error(not(source))] u16),
    /// It switches to another protocol, which no request asked for.
    #[display("status 101 without a request to upgrade")]
    Upgrade,
    /// It is an interim response with a body.
    #[display("interim response with a body")]
    InterimBody,
    /// Too many interim responses come before it.
    #[display("more than {_0} interim responses")]
    EndlessInterim(#[error(not(source))] u32),
    /// A trailer line or a chunk extension doesn't follow the grammar.
    #[display("malformed trailer or chunk extension")]
    Trailer,
    /// It came without a request.
    #[display("bytes behind the response")]
    Surplus,
    /// The head exceeds the limit.
    #[display("head too large")]
    HeadTooLarge,
    /// The connection ended before the message was complete.
    #[display("connection ended before the message was complete")]
    Truncated,
}
