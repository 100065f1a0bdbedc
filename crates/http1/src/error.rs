/// Why an HTTP message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum HttpError {
    /// It is not HTTP/1.x, or its framing is ambiguous.
    #[display("malformed or ambiguous message")]
    Malformed,
    /// The head exceeds the limit.
    #[display("head too large")]
    HeadTooLarge,
    /// The connection ended before the message was complete.
    #[display("connection ended before the message was complete")]
    Truncated,
}
