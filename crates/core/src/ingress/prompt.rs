/// A part of a prompt; requests that begin with the same parts share them in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// What names the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// How large a generation is, as its caller states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the answer at most.
    pub output: u32,
}

impl PromptSize {
    /// Tokens that the generation takes up in an engine's memory at its end.
    pub const fn total(self) -> u64 {
        self.prompt as u64 + self.output as u64
    }
}
