/// What a part of an answer brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartKind {
    /// The opening, which holds no token.
    Opening,
    /// Tokens.
    Tokens,
    /// The reason for which the engine stopped.
    Finish,
    /// The count of tokens.
    Usage,
}

/// One part of a streamed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Tokens of the answer up to and with this part.
    pub offset: u64,
    /// What it brings.
    pub kind: PartKind,
}
