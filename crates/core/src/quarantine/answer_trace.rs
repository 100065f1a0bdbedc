use crate::clock::Millis;

/// An answer that breaks off sooner after its begin is presumed to be broken by what it answers.
const MAX_PRESUMED_DELAY: Millis = Millis(1_000);

/// The same, if it was silent for no longer than this just before.
const MAX_PRESUMED_SILENCE: Millis = Millis(2_000);

/// How the answer of an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// As its framing and its events ask.
    Whole,
    /// At the end of a connection that also frames it, so that a crash may look the same.
    Closed,
    /// Its connection broke, or it ended before it was whole.
    Broken,
    /// The same, or at the end of a connection that also frames it, and the upstream's machine refuses others.
    UpstreamGone,
    /// For a reason that isn't the upstream's, or with silence.
    GivenUp,
}

/// How far the answer of an attempt got, as its VM has seen it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTrace {
    /// Time since the answer began; `None` if it didn't.
    pub begun_ago: Option<Millis>,
    /// Time from its begin until its last data.
    pub received_for: Millis,
    /// How it ended.
    pub end: AnswerEnd,
}

/// What the end of an attempt shows about the parts of its prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum PromptEvidence {
    /// Nothing.
    #[default]
    #[display("nothing")]
    None,
    /// It was under way at the upstream: one of them may have crashed that, if it is seen to have ended.
    #[display("open")]
    Open {
        /// Whether its connection broke, as at the end of the upstream; otherwise it was given up before.
        has_broken: bool,
    },
    /// One of them may have crashed the upstream.
    #[display("crash")]
    Crash,
    /// None of them crashes upstreams.
    #[display("sound")]
    Sound {
        /// Time since the answer began.
        begun_ago: Millis,
    },
}

impl AnswerTrace {
    /// What it shows about the prompt of a request that was sent.
    ///
    /// Only a whole answer shows that its upstream outlived the prompt, and only an upstream that has ended shows that it
    /// may not have. A connection that breaks just after the begin of an answer is taken for an end until the upstream is
    /// heard.
    pub fn evidence(self) -> PromptEvidence {
        let is_presumed = self.begun_ago.is_some_and(|begun_ago| {
            self.received_for < MAX_PRESUMED_DELAY
                && begun_ago.since(self.received_for) <= MAX_PRESUMED_SILENCE
        });
        match (self.end, self.begun_ago) {
            (AnswerEnd::Whole, Some(begun_ago)) => PromptEvidence::Sound { begun_ago },
            (AnswerEnd::UpstreamGone, _) => PromptEvidence::Crash,
            (AnswerEnd::Broken, _) if is_presumed => PromptEvidence::Crash,
            (end, _) => PromptEvidence::Open {
                has_broken: end == AnswerEnd::Broken,
            },
        }
    }
}
