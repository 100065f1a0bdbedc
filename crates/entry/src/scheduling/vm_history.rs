use {
    super::CostSpec,
    jasmine_core::{
        clock::Millis,
        ids::PartId,
        quarantine::{PartSet, PromptReport, SoundReport, select_crashes},
        scheduler::{PastAttempts, SpentTokens, UpstreamSignals},
    },
    std::collections::HashSet,
};

/// Bytes of a crash without its prompts and requests, as it is stored.
const CRASH_BYTES: usize = 64;
/// Bytes of a prompt without its parts.
const PROMPT_BYTES: usize = 32;
/// Bytes of a part.
const PART_BYTES: usize = 28;
/// Bytes of a request.
const REQUEST_BYTES: usize = 40;
/// Bytes of a report on a sound part.
const SOUND_REPORT_BYTES: usize = 32;

/// What a VM tells a new leader of the time before: attempts of its callers, what they used of the account rates, and what upstreams have stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmHistory {
    /// How long attempts were counted, at most the window of the retry budget.
    pub counted_for: Millis,
    /// The attempts in that time, by service.
    pub attempts: Vec<(String, PastAttempts)>,
    /// The upstreams that have stated something.
    pub stated: Vec<StatedSpec>,
    /// What it knows of crashes and of sound parts.
    pub evidence: EvidenceSpec,
    /// The parts of prompts that it refuses.
    pub quarantine: Vec<PartSet>,
    /// How long the use of account rates was counted, at most the window of the limits; zero if the VM doesn't tell it.
    pub rates_counted_for: Millis,
    /// The tokens admitted in that time, by account.
    pub accounts: Vec<(String, Vec<SpentTokens>)>,
    /// What this VM has learned of the cost of requests.
    pub costs: Vec<CostSpec>,
    /// The return times that it has passed on to refused callers.
    pub promises: Vec<PromiseSpec>,
}

/// A return time that a VM has passed on to a refused caller, as it tells it to a new leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PromiseSpec {
    /// Tag of the request over all attempts of its caller.
    pub caller: u64,
    /// Name of the service.
    pub service: String,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time until the caller is to come back.
    pub due_in: Millis,
    /// The capacity kept for it, in calls or prompt tokens.
    pub work: f64,
}

/// What a VM knows of crashes and of sound parts, as it tells it to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvidenceSpec {
    /// The crashes.
    pub crashes: Vec<CrashSpec>,
    /// The accused parts that were sound before, and those that were sound last.
    pub sound: Vec<SoundReport>,
}

impl EvidenceSpec {
    /// The crashes that fit into about `max` bytes, and what is sound of their parts and of the latest others, as many as
    /// fit into as much again.
    #[must_use]
    pub fn bounded(
        self,
        max: usize,
    ) -> Self {
        let sizes: Vec<usize> = self.crashes.iter().map(CrashSpec::size).collect();
        let kept = self.crashes.into_iter().zip(select_crashes(&sizes, max));
        let crashes: Vec<CrashSpec> = kept
            .filter_map(|(crash, is_kept)| is_kept.then_some(crash))
            .collect();
        let prompts = crashes.iter().flat_map(|crash| &crash.prompts);
        let accused: HashSet<PartId> = prompts
            .flat_map(|prompt| prompt.parts.iter().copied())
            .collect();
        let (mut sound, mut others): (Vec<SoundReport>, Vec<SoundReport>) = self
            .sound
            .into_iter()
            .partition(|report| accused.contains(&report.part));
        others.sort_unstable_by_key(|report| report.ago);
        others.truncate(max / SOUND_REPORT_BYTES);
        sound.append(&mut others);
        Self { crashes, sound }
    }
}

/// A crash of an upstream as it began to answer prompts, as a VM tells it to others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashSpec {
    /// The upstream's id.
    pub upstream: String,
    /// Time since the crash.
    pub ago: Millis,
    /// The prompts that it had just begun to answer.
    pub prompts: Vec<PromptReport>,
    /// The requests that it had, and how long ago they were sent to it.
    pub requests: Vec<(PartId, Millis)>,
}

impl CrashSpec {
    /// Its size as it is stored, in bytes, approximately.
    fn size(&self) -> usize {
        let prompts = self.prompts.iter();
        let prompts = prompts.map(|prompt| PROMPT_BYTES + prompt.parts.len() * PART_BYTES);
        CRASH_BYTES + prompts.sum::<usize>() + self.requests.len() * REQUEST_BYTES
    }
}

/// What an upstream has stated, as a VM tells it to a new leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatedSpec {
    /// The upstream's id.
    pub upstream: String,
    /// Identifies its run.
    pub started_unix_ms: Option<u64>,
    /// What it has stated.
    pub signals: UpstreamSignals,
    /// How long ago this VM sent the last requests to it.
    pub sent_ago: Vec<Millis>,
    /// The upstream's base pace relative to its service, with the number of observations that it rests on.
    pub base_pace: Option<(f64, f64)>,
}
