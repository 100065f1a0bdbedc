use crate::{
    clock::Millis,
    ids::{AccountId, AdapterId, DataCentreId, ModelId, ServiceId, UpstreamId},
    ingress::{PromptPart, PromptSize},
    rights::CallerTag,
};

/// Names one attempt of one request: the VM that forwards it and that VM's own number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    /// The VM, as the scheduler's shell numbers it.
    pub vm: u32,
    /// The attempt's number there, never used twice.
    pub number: u64,
}

/// A generation by a base model, with or without an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// The base model.
    pub model: ModelId,
    /// The adapter.
    pub adapter: Option<AdapterId>,
    /// How large it is.
    pub size: PromptSize,
    /// The parts of its prompt, from the start.
    pub parts: Vec<PromptPart>,
}

/// What is to be done for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A call of a plain service.
    Call,
    /// A generation on an engine.
    Generation(Generation),
}

/// A request that wants an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Whose rate it counts against; none where it isn't limited.
    pub account: Option<AccountId>,
    /// What makes its caller known when it comes back after a refusal.
    pub caller: CallerTag,
    /// What it costs the account.
    pub cost: u64,
    /// The service that runs it.
    pub service: ServiceId,
    /// What is to be done.
    pub work: Work,
    /// Its rank, 0 first.
    pub priority: u8,
    /// The point in time after which its answer, or its first event, is late.
    pub objective: Millis,
    /// The longest pause within its answer that is still in time, if it is a stream.
    pub gap_objective: Option<Millis>,
    /// The point in time after which nobody waits for it.
    pub deadline: Millis,
    /// Where the forwarding VM stands.
    pub data_centre: Option<DataCentreId>,
    /// Which attempt it is, from 1 up; a later one draws on the budget for repeats.
    pub attempt: u32,
    /// Upstreams that have failed it.
    pub avoid: Vec<UpstreamId>,
}

impl Job {
    /// The generation, if it is one.
    pub const fn generation(&self) -> Option<&Generation> {
        match &self.work {
            Work::Call => None,
            Work::Generation(generation) => Some(generation),
        }
    }
}
