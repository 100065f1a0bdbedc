use crate::ids::PartId;

/// A part of a prompt; requests that begin with the same parts share an engine's KV cache for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: u64,
    /// Its number of tokens.
    pub tokens: u32,
}

/// The parts of a prompt that other requests may share: all but the last one, which belongs to one request or session.
pub fn shared_parts(parts: &[PromptPart]) -> impl Iterator<Item = PartId> {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| PartId::Part(part.id))
}

/// The size of a generation, as declared by its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptSize {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub output: u32,
}

impl PromptSize {
    /// Number of tokens that the generation occupies in an engine's memory at its end.
    pub const fn total(self) -> u64 {
        self.prompt as u64 + self.output as u64
    }
}
