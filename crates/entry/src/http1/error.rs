/// Why a message can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum HttpError {
    /// It is not HTTP/1.1, or two readers could see its end in two places.
    #[display("malformed or ambiguous message")]
    Malformed,
    /// Its head is larger than allowed.
    #[display("head too large")]
    HeadTooLarge,
    /// Its body is larger than allowed.
    #[display("body too large")]
    BodyTooLarge,
    /// The connection ended before the message did.
    #[display("connection ended midway")]
    Truncated,
}
