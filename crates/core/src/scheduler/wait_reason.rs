/// What a request waits for that isn't sent yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitReason {
    /// Its turn: it hasn't been looked at yet, or others go first.
    #[default]
    Turn,
    /// An upstream: none of its service takes work.
    NoUpstream,
    /// A slot of a plain upstream.
    CallSlot,
    /// The engine that is best for it to read the prompts that it has.
    Prompts,
    /// A slot or memory of that engine.
    Memory,
    /// Its adapter, which is on its way to an engine.
    Load,
    /// An engine that can be ordered to load its adapter: an order is out, or what it holds is in doubt.
    Order,
    /// A place for its adapter: all that could be emptied are in use.
    Place,
}

impl WaitReason {
    /// All of them.
    pub const ALL: [Self; 8] = [
        Self::Turn,
        Self::NoUpstream,
        Self::CallSlot,
        Self::Prompts,
        Self::Memory,
        Self::Load,
        Self::Order,
        Self::Place,
    ];

    /// The reason with this word.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == word)
    }

    /// The word for it in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Turn => "turn",
            Self::NoUpstream => "no_upstream",
            Self::CallSlot => "call_slot",
            Self::Prompts => "prompts",
            Self::Memory => "memory",
            Self::Load => "load",
            Self::Order => "order",
            Self::Place => "place",
        }
    }
}
