use crate::{
    clock::Millis,
    ids::{
        AccountId, AdapterId, BuildId, DataCentreId, ModelId, PartId, RouteId, ServiceId,
        UpstreamId,
    },
    ingress::{PromptPart, PromptSize},
    quarantine::CrashCandidates,
    queue::Urgency,
    rights::CallerTag,
};

/// Number of the VM on which a scheduler runs.
pub const LOCAL_VM: u32 = 0;

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The forwarding VM, by the number that the scheduler's caller assigned; [`LOCAL_VM`] for the
    /// scheduler's own.
    pub vm: u32,
    /// Counter that is unique on the forwarding VM.
    pub number: u64,
}

/// An announced version of an adapter, and until when requests may begin on older ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionLimit {
    /// The announced version.
    pub version: u32,
    /// No request begins on an older version from this time on.
    pub older_until: Millis,
}

/// A generation by a base model, with or without an adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Base model that generates the output.
    pub model: ModelId,
    /// LoRA adapter to apply; `None` for the base model alone.
    pub adapter: Option<AdapterId>,
    /// The newest version of the adapter that the forwarding VM knows.
    pub newest: Option<VersionLimit>,
    /// Prompt and output size, in tokens.
    pub size: PromptSize,
    /// The caller's estimate of the output, in tokens.
    pub length_hint: Option<u32>,
    /// The parts of the prompt in order, for prefix caching.
    pub parts: Vec<PromptPart>,
    /// What other requests may share and what may crash engines: the parts but the last one, and the adapter.
    pub shared_parts: Vec<PartId>,
}

/// Whether a request is a plain call or a generation, with its parameters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A call of a service without engines.
    Call,
    /// A generation on an engine.
    Generation(Generation),
}

/// A request as the scheduler sees it: its account, its work and its time limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The account whose rate limit applies; `None` if it is unlimited.
    pub account: Option<AccountId>,
    /// Identifies the request over all attempts of its caller.
    pub caller: CallerTag,
    /// Cost in tokens of the account's rate limit.
    pub cost: u64,
    /// Service whose upstreams may serve the request.
    pub service: ServiceId,
    /// The route by which it came; `None` if unknown.
    pub route: Option<RouteId>,
    /// The call or the generation to run.
    pub work: Work,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Priority of the route, which orders requests of the same priority; 0 is the highest.
    pub route_priority: u8,
    /// Latency objective: when the response, or its first event, is late.
    pub objective: Millis,
    /// Longest acceptable pause between events of a stream.
    pub gap_objective: Option<Millis>,
    /// When the caller stops waiting.
    pub deadline: Millis,
    /// Data centre of the forwarding VM, if known.
    pub data_centre: Option<DataCentreId>,
    /// Data centres whose upstreams may serve it; empty if any may.
    pub allowed_data_centres: Vec<DataCentreId>,
    /// The only build that may serve it, if it resumes a stream.
    pub build: Option<BuildId>,
    /// Size of its body, in bytes.
    pub body_bytes: u32,
    /// Attempt number, from 1; later attempts draw on the retry budget.
    pub attempt: u32,
    /// Upstreams that failed earlier attempts.
    pub excluded_upstreams: Vec<UpstreamId>,
    /// The only upstreams that may serve it, as no further one may run it; empty if any may.
    pub allowed_upstreams: Vec<UpstreamId>,
    /// Whether its caller has a part of the answer already.
    pub has_begun: bool,
    /// Whether the last excluded upstream is silent and still works on it, so that only another one is of use.
    pub is_hedge: bool,
}

impl Job {
    /// The generation, if the request is one.
    pub const fn generation(&self) -> Option<&Generation> {
        match &self.work {
            Work::Call => None,
            Work::Generation(generation) => Some(generation),
        }
    }

    /// The adapter that it needs, if any.
    pub fn adapter(&self) -> Option<AdapterId> {
        self.generation()?.adapter
    }

    /// What it may share with other requests that crash engines; nothing for a call.
    pub fn shared_parts(&self) -> &[PartId] {
        self.generation()
            .map_or(&[][..], |generation| &generation.shared_parts)
    }

    /// What of it may crash upstreams.
    pub fn crash_candidates(&self) -> CrashCandidates<'_> {
        CrashCandidates {
            shared: self.shared_parts(),
            request: self.request_part(),
        }
    }

    /// Its place among the other requests of its service.
    pub const fn urgency(&self) -> Urgency {
        Urgency {
            priority: self.priority,
            route_priority: self.route_priority,
        }
    }

    /// Its id among what may crash upstreams, the same for all attempts of its caller.
    pub const fn request_part(&self) -> PartId {
        PartId::Request(self.caller.0)
    }

    /// Whether it draws on the retry budget.
    pub const fn is_retry(&self) -> bool {
        self.attempt > 1
    }

    /// Whether it holds a part of the retry budget while it is queued.
    ///
    /// Hedges and answers that have begun don't: they are placed again after a refusal.
    pub const fn reserves_retry(&self) -> bool {
        self.is_retry() && !self.is_hedge && !self.has_begun
    }

    /// Whether it is a call that any upstream of its service may serve.
    pub const fn is_plain_call(&self) -> bool {
        matches!(self.work, Work::Call)
            && self.excluded_upstreams.is_empty()
            && self.allowed_upstreams.is_empty()
            && self.allowed_data_centres.is_empty()
            && self.build.is_none()
    }

    /// Whether upstreams in a data centre may serve the request.
    pub fn is_allowed_in(
        &self,
        data_centre: Option<DataCentreId>,
    ) -> bool {
        let allowed = &self.allowed_data_centres;
        allowed.is_empty() || data_centre.is_some_and(|id| allowed.contains(&id))
    }

    /// Whether upstreams of a build may serve the request.
    pub fn is_allowed_at(
        &self,
        build: BuildId,
    ) -> bool {
        self.build.is_none_or(|required| required == build)
    }
}
