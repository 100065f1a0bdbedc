use {
    super::NameInterner,
    jasmine_core::{
        clock::Millis,
        ids::PartId,
        ingress::{PromptPart, PromptSize, shared_parts},
        rights::CallerTag,
        scheduler::{Generation, Job, VersionLimit, Work},
    },
    jasmine_platform::headers::CallerHeaders,
    xxhash_rust::xxh3::xxh3_64,
};

/// A generation request, with names in place of process-local ids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerationSpec {
    /// Name of the base model.
    pub model: String,
    /// Name of the adapter; `None` for the base model alone.
    pub adapter: Option<String>,
    /// The newest version of the adapter that the forwarding VM knows.
    pub newest: Option<NewestSpec>,
    /// Prompt and output sizes, in tokens.
    pub size: PromptSize,
    /// The caller's estimate of the output, in tokens.
    pub length_hint: Option<u32>,
    /// The prompt's parts, for prefix reuse.
    pub parts: Vec<PromptPart>,
}

/// A [`VersionLimit`] as sent between VMs: with the remaining time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewestSpec {
    /// The announced version.
    pub version: u32,
    /// How much longer requests may begin on an older version.
    pub older_for: Millis,
}

impl NewestSpec {
    pub(super) fn resolve(
        self,
        now: Millis,
    ) -> VersionLimit {
        VersionLimit {
            version: self.version,
            older_until: now + self.older_for,
        }
    }
}

impl GenerationSpec {
    /// The generation that a caller's headers ask for; `None` without a model.
    pub fn from_headers(caller: &CallerHeaders) -> Option<Self> {
        Some(Self {
            model: caller.model.clone()?,
            adapter: caller.adapter.clone(),
            newest: None,
            size: caller.size.unwrap_or_default(),
            length_hint: caller.length_hint,
            parts: caller.parts.clone(),
        })
    }

    /// What other requests may share and what may crash engines.
    pub(super) fn shared_parts(&self) -> Vec<PartId> {
        let adapter = self.adapter.as_ref();
        let adapter = adapter.map(|adapter| adapter_part(&format!("{}/{adapter}", self.model)));
        shared_parts(&self.parts).chain(adapter).collect()
    }
}

/// The id of an adapter, named `MODEL/ADAPTER`, which is the same on all VMs.
pub(super) fn adapter_part(name: &str) -> PartId {
    PartId::Adapter(xxh3_64(name.as_bytes()))
}

/// A placement request as sent between VMs: with names in place of ids, and with remaining times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Number of the attempt, unique on its VM.
    pub number: u64,
    /// The client account whose rate limit applies; `None` if not limited.
    pub account: Option<String>,
    /// Tag that identifies the caller when it retries after a refusal.
    pub caller: u64,
    /// Cost charged to the account's rate limit.
    pub cost: u64,
    /// Name of the service.
    pub service: String,
    /// Name of the route; empty if unknown.
    pub route: String,
    /// The generation; `None` for a plain call.
    pub generation: Option<GenerationSpec>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Priority of the route; 0 is the highest.
    pub route_priority: u8,
    /// Remaining time until the latency objective is missed.
    pub objective: Millis,
    /// Longest gap within a streamed answer that meets the objective; `None` if not streamed.
    pub gap_objective: Option<Millis>,
    /// Remaining time until the caller stops waiting.
    pub deadline: Millis,
    /// Size of its body, in bytes.
    pub body_bytes: u32,
    /// Attempt count, from 1.
    pub attempt: u32,
    /// Upstreams to avoid, because an earlier attempt failed there.
    pub excluded_upstreams: Vec<String>,
    /// The only upstreams that may serve it; empty if any may.
    pub allowed_upstreams: Vec<String>,
    /// Whether its caller has a part of the answer already.
    pub has_begun: bool,
    /// Whether the last excluded upstream is silent and still works on it.
    pub is_hedge: bool,
    /// Data centre of the forwarding VM.
    pub data_centre: String,
    /// Data centres whose upstreams may serve it; empty if any may.
    pub allowed_data_centres: Vec<String>,
    /// The only build of upstreams that may serve it, if it resumes a stream.
    pub build: Option<String>,
}

impl JobSpec {
    /// Resolves names to this process's ids, and remaining times to points in time.
    pub fn resolve(
        &self,
        names: &mut NameInterner,
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
                newest: spec.newest.map(|newest| newest.resolve(now)),
                size: spec.size,
                length_hint: spec.length_hint,
                parts: spec.parts.clone(),
                shared_parts: spec.shared_parts(),
            }),
        };
        Job {
            account: self.account.as_ref().map(|name| names.account(name)),
            caller: CallerTag(self.caller),
            cost: self.cost,
            service: names.service(&self.service),
            route: (!self.route.is_empty()).then(|| names.route(&self.route)),
            work,
            priority: self.priority,
            route_priority: self.route_priority,
            objective: now + self.objective,
            gap_objective: self.gap_objective,
            deadline: now + self.deadline,
            data_centre: Some(names.data_centre(&self.data_centre)),
            allowed_data_centres: self
                .allowed_data_centres
                .iter()
                .map(|name| names.data_centre(name))
                .collect(),
            build: self.build.as_ref().map(|name| names.build(name)),
            body_bytes: self.body_bytes,
            attempt: self.attempt,
            excluded_upstreams: self
                .excluded_upstreams
                .iter()
                .map(|id| names.upstream(id))
                .collect(),
            allowed_upstreams: self
                .allowed_upstreams
                .iter()
                .map(|id| names.upstream(id))
                .collect(),
            has_begun: self.has_begun,
            is_hedge: self.is_hedge,
        }
    }
}

/// A running request, as a VM reports it to a new leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningSpec {
    /// The request.
    pub job: JobSpec,
    /// Id of the upstream that it runs on.
    pub upstream: String,
    /// The adapter version required to run it, if an operator announced one.
    pub version: Option<u32>,
    /// Whether the first event of its answer was received.
    pub has_begun: bool,
}
