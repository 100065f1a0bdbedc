/// What a part of a response contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartKind {
    /// The start of the stream, without tokens.
    Opening,
    /// Tokens.
    Tokens,
    /// The reason why the engine stopped.
    Finish,
    /// The token counts.
    Usage,
}

/// One part of a streamed response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Number of tokens of the response up to and including this part.
    pub offset: u64,
    /// What it contains.
    pub kind: PartKind,
}
