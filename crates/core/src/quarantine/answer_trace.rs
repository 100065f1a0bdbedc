use crate::clock::Millis;

/// An answer that breaks off sooner after its begin may be broken by what it answers.
const MAX_CRASH_DELAY: Millis = Millis(1_000);

/// A crash ends the connection of an answer sooner after its last data; an upstream that was silent for longer lived on.
const MAX_CRASH_SILENCE: Millis = Millis(2_000);

/// How the answer of an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// As its framing and its events ask.
    Whole,
    /// At the end of a connection that also frames it, so that a crash may look the same.
    Closed,
    /// Its connection broke, or it ended before it was whole.
    Broken,
    /// For a reason that isn't the upstream's, or with silence.
    GivenUp,
}

/// How far the answer of an attempt got, as its VM has seen it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTrace {
    /// Time since the answer began.
    pub begun_ago: Millis,
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
    /// What it shows about the prompt.
    pub fn evidence(self) -> PromptEvidence {
        let sound = PromptEvidence::Sound {
            begun_ago: self.begun_ago,
        };
        let goes_on = self.received_for >= MAX_CRASH_DELAY;
        let was_silent = self.begun_ago.since(self.received_for) > MAX_CRASH_SILENCE;
        match self.end {
            AnswerEnd::Whole => sound,
            _ if goes_on => sound,
            AnswerEnd::Broken if was_silent => PromptEvidence::None,
            AnswerEnd::Broken => PromptEvidence::Crash,
            AnswerEnd::Closed | AnswerEnd::GivenUp => PromptEvidence::None,
        }
    }
}
