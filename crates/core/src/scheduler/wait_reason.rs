/// What a queued request is waiting for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitReason {
    /// To be evaluated, or for requests ahead of it.
    #[default]
    Turn,
    /// A ready upstream of its service.
    NoUpstream,
    /// A free slot of an upstream that is not an engine.
    CallSlot,
    /// The prefill backlog of its best engine.
    Prefill,
    /// A slot or KV cache memory of its best engine.
    Memory,
    /// A load of its adapter that is in progress.
    Load,
    /// An engine that can take the order to load its adapter.
    Order,
    /// An adapter slot: none can be freed.
    AdapterSlot,
    /// The request rate of a cold upstream.
    ColdUpstream,
    /// The request limit that an upstream states.
    RequestLimit,
    /// The outcome of another request with a part of its prompt that upstreams have crashed under.
    Trial,
}

impl WaitReason {
    /// All variants in declaration order, by which wait times are counted and exported as metrics.
    pub const ALL: [Self; 11] = [
        Self::Turn,
        Self::NoUpstream,
        Self::CallSlot,
        Self::Prefill,
        Self::Memory,
        Self::Load,
        Self::Order,
        Self::AdapterSlot,
        Self::ColdUpstream,
        Self::RequestLimit,
        Self::Trial,
    ];

    /// Parses a name from [`Self::as_str`]; `None` if it is unknown.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == name)
    }

    /// Name of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Turn => "turn",
            Self::NoUpstream => "no_upstream",
            Self::CallSlot => "call_slot",
            Self::Prefill => "prompts",
            Self::Memory => "memory",
            Self::Load => "load",
            Self::Order => "order",
            Self::AdapterSlot => "place",
            Self::ColdUpstream => "cold_upstream",
            Self::RequestLimit => "request_limit",
            Self::Trial => "trial",
        }
    }
}
