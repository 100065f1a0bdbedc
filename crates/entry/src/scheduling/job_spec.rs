use {
    super::Names,
    jasmine_core::{
        clock::Millis,
        ingress::{PromptPart, PromptSize},
        rights::CallerTag,
        scheduler::{Generation, Job, Work},
    },
};

/// A generation, with names in place of numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationSpec {
    /// The base model.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
    /// How large it is.
    pub size: PromptSize,
    /// The parts of its prompt.
    pub parts: Vec<PromptPart>,
}

/// A request that wants an upstream, as VMs tell each other: with names, and times as what is left of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// The attempt's number on its VM.
    pub number: u64,
    /// The client account.
    pub account: Option<String>,
    /// What makes the caller known when it comes back.
    pub caller: u64,
    /// What it costs the account.
    pub cost: u64,
    /// The service.
    pub service: String,
    /// The generation; none for a call.
    pub generation: Option<GenerationSpec>,
    /// Its rank, 0 first.
    pub priority: u8,
    /// What is left until it is late.
    pub objective: Millis,
    /// The longest pause within its answer that is still in time, if it is a stream.
    pub gap_objective: Option<Millis>,
    /// What is left until nobody waits for it.
    pub deadline: Millis,
    /// Which attempt it is, from 1 up.
    pub attempt: u32,
    /// Upstreams that have failed it.
    pub avoid: Vec<String>,
    /// Where the forwarding VM stands.
    pub data_centre: String,
}

impl JobSpec {
    /// The same with this process's numbers and points in time.
    pub fn resolve(
        &self,
        names: &mut Names,
        now: Millis,
    ) -> Job {
        let work = match &self.generation {
            None => Work::Call,
            Some(spec) => Work::Generation(Generation {
                model: names.model(&spec.model),
                adapter: spec
                    .adapter
                    .as_ref()
                    .map(|adapter| names.adapter(&spec.model, adapter)),
                size: spec.size,
                parts: spec.parts.clone(),
            }),
        };
        Job {
            account: self.account.as_ref().map(|name| names.account(name)),
            caller: CallerTag(self.caller),
            cost: self.cost,
            service: names.service(&self.service),
            work,
            priority: self.priority,
            objective: now + self.objective,
            gap_objective: self.gap_objective,
            deadline: now + self.deadline,
            data_centre: Some(names.data_centre(&self.data_centre)),
            attempt: self.attempt,
            avoid: self.avoid.iter().map(|id| names.upstream(id)).collect(),
        }
    }
}

/// A request that runs, as a VM tells a scheduler that has just taken over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningSpec {
    /// The request.
    pub job: JobSpec,
    /// Where it runs.
    pub upstream: String,
    /// The adapter's version, where an operator has named one.
    pub version: Option<u32>,
    /// Whether its first event has been seen.
    pub has_begun: bool,
}
