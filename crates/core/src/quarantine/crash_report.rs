use crate::{
    clock::Millis,
    ids::{PartId, UpstreamId},
};

/// A prompt that an upstream had just begun to answer when it crashed, as a VM tells it to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptReport {
    /// What it may share with others and no later answer has acquitted.
    pub parts: Vec<PartId>,
    /// Time since it was sent to the upstream.
    pub sent_ago: Millis,
}

/// A crash as a VM tells it to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// Time since the crash.
    pub ago: Millis,
    /// The prompts that it had just begun to answer.
    pub prompts: Vec<PromptReport>,
    /// The requests that it had, and how long ago they were sent to it.
    pub requests: Vec<(PartId, Millis)>,
}

/// A part that an answer has shown to be sound, as a VM tells it to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SoundReport {
    /// The part.
    pub part: PartId,
    /// Time since the latest such answer began.
    pub ago: Millis,
}

/// What a VM knows of crashes and of sound parts, as it tells it to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    /// The crashes.
    pub crashes: Vec<CrashReport>,
    /// The accused parts that were sound before, and those that were sound last.
    pub sound: Vec<SoundReport>,
}

impl CrashEvidence {
    /// The same, told so much later than it was true.
    #[must_use]
    pub fn aged(
        mut self,
        age: Millis,
    ) -> Self {
        for crash in &mut self.crashes {
            crash.ago += age;
            for prompt in &mut crash.prompts {
                prompt.sent_ago += age;
            }
            for (_, sent_ago) in &mut crash.requests {
                *sent_ago += age;
            }
        }
        for report in &mut self.sound {
            report.ago += age;
        }
        self
    }
}
