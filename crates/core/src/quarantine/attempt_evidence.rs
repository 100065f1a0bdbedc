use {super::PromptEvidence, crate::clock::Millis};

/// What the end of an attempt shows about its request as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestEvidence {
    /// Nothing.
    #[default]
    None,
    /// Its connection to the VM that relays it broke: the upstream has ended under it, unless it is heard.
    UpstreamEnded,
    /// Its connection broke, and the upstream's machine refuses others: it has ended under it.
    UpstreamGone,
    /// It was answered as a whole.
    Answered {
        /// Time since the answer began.
        begun_ago: Millis,
    },
}

/// What the end of an attempt shows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptEvidence {
    /// About what its prompt shares with others.
    pub prompt: PromptEvidence,
    /// About the request.
    pub request: RequestEvidence,
}

impl AttemptEvidence {
    /// Nothing.
    pub const NONE: Self = Self {
        prompt: PromptEvidence::None,
        request: RequestEvidence::None,
    };
}
