use {
    super::{
        Job,
        admission_log::AdmissionLog,
        cold_admission::{COLD_WINDOW, ColdLimit},
        engine::Engine,
        health::Health,
        measured_pace::MeasuredPace,
        resident::ResidentState,
        statements::Statements,
    },
    crate::{
        clock::Millis,
        costs::RunningWork,
        ids::{AdapterVersion, BuildId, DataCentreId, ModelId, ServiceId, UpstreamId},
    },
};

/// Weight of one sample in the moving average of call times.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Initial estimate of a call's duration, in milliseconds.
const INITIAL_CALL_MS: f64 = 30.0;
/// Slowdown of an upstream shortly after its start.
const WARMUP_SLOWDOWN: f64 = 1.6;

/// The models and adapters of an engine, from its store entry or its own report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// Identifies the run of the engine that reports; only in its own report.
    pub started_unix_ms: Option<u64>,
    /// Orders accepted since the engine started; only in its own report.
    pub seq: Option<u64>,
    /// Base models that are loaded.
    pub models: Vec<ModelId>,
    /// Loaded adapter versions, each with its base model.
    pub adapters: Vec<(ModelId, AdapterVersion)>,
    /// Adapters being loaded; only in the engine's own report.
    pub coming: Vec<(ModelId, AdapterVersion)>,
    /// Whether a base model is being loaded.
    pub is_busy: bool,
}

/// What the configuration store holds about an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Hash of the upstream's id that is the same on all VMs.
    pub id_hash: u64,
    /// Service whose requests the upstream serves.
    pub service: ServiceId,
    /// Data centre of the upstream; `None` if unknown.
    pub data_centre: Option<DataCentreId>,
    /// Version of its software.
    pub build: BuildId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub is_ready: bool,
    /// Remaining time during which it is slow and, if its service has a [`ColdLimit`], takes few
    /// requests.
    pub cold: Millis,
    /// Identifies the current run of the upstream; changes with each restart.
    pub started_unix_ms: Option<u64>,
    /// Its models and adapters, if it is an engine.
    pub engine: Option<EngineStatus>,
}

/// An upstream, with its load and health.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub id: UpstreamId,
    pub id_hash: u64,
    pub service: ServiceId,
    pub data_centre: Option<DataCentreId>,
    pub build: BuildId,
    pub slots: u32,
    /// Whether its entry says that it accepts new requests.
    pub is_ready: bool,
    pub started_unix_ms: Option<u64>,
    /// The latest start time in its own reports.
    reported_start: Option<u64>,
    /// When its run, as far as its entry and its reports tell it, was first known.
    pub run_known_at: Millis,
    /// Until when it is expected to be slow after its start.
    pub warmup_until: Millis,
    /// Until when it may crash if it gets more requests than its cold limit.
    cold_until: Millis,
    /// The limit of its service while it is cold.
    pub cold_limit: Option<ColdLimit>,
    /// The requests that count for its cold limit.
    pub cold_admissions: AdmissionLog,
    /// What its current run has stated in its responses.
    pub statements: Statements,
    /// When the evacuation of its data centre takes effect.
    pub evacuated_from: Option<Millis>,
    pub health: Health,
    /// Assigned requests that have not ended.
    pub running: u32,
    /// The work that is left of them, as far as cost estimates take effect.
    pub work: RunningWork,
    /// How long work takes here, relative to its expected cost.
    pub pace: MeasuredPace,
    /// Moving average of the duration of a call, in milliseconds.
    call_ms: f64,
    /// Mean time of a call of its service at the usual pace, in milliseconds.
    pub usual_call_ms: f64,
    /// Requests that it reported beyond those that this scheduler had assigned.
    pub foreign_requests: u32,
    /// Implausible reports that were told, and when.
    pub complained_count: u64,
    pub complained_at: Option<Millis>,
    pub engine: Option<Engine>,
}

impl Upstream {
    pub(super) fn new(
        id: UpstreamId,
        status: &UpstreamStatus,
        engine: Option<Engine>,
        now: Millis,
    ) -> Self {
        Self {
            id,
            id_hash: status.id_hash,
            service: status.service,
            data_centre: status.data_centre,
            build: status.build,
            slots: status.slots,
            is_ready: status.is_ready,
            started_unix_ms: status.started_unix_ms,
            reported_start: None,
            run_known_at: now,
            warmup_until: now + status.cold,
            cold_until: now + status.cold,
            cold_limit: None,
            cold_admissions: AdmissionLog::new(COLD_WINDOW),
            statements: Statements::new(now),
            evacuated_from: None,
            health: Health::default(),
            running: 0,
            work: RunningWork::default(),
            pace: MeasuredPace::default(),
            call_ms: INITIAL_CALL_MS,
            usual_call_ms: INITIAL_CALL_MS,
            foreign_requests: 0,
            complained_count: 0,
            complained_at: None,
            engine,
        }
    }

    /// Updates the upstream from its store entry.
    pub(super) fn update(
        &mut self,
        status: &UpstreamStatus,
        now: Millis,
    ) {
        let restarted =
            status.started_unix_ms != self.started_unix_ms || status.build != self.build;
        let run = self.run();
        self.service = status.service;
        self.data_centre = status.data_centre;
        self.build = status.build;
        self.slots = status.slots;
        self.warmup_until = now + status.cold;
        // The entry may have been written before the upstream became cold.
        self.cold_until = self.cold_until.max(now + status.cold);
        self.started_unix_ms = status.started_unix_ms;
        if self.run() != run {
            self.run_known_at = now;
        }
        if restarted {
            self.health = Health::default();
            self.statements = self.statements.of_next_run(now);
            self.foreign_requests = 0;
        }
        self.is_ready = status.is_ready;
        if let (Some(engine), true) = (&mut self.engine, restarted) {
            engine.restart();
        }
    }

    /// Whether it accepts new requests, by its entry and by its own statement.
    pub(super) const fn is_available(&self) -> bool {
        self.is_ready && !self.statements.is_leaving
    }

    /// Whether it may serve a request, by its data centre, its build and its id.
    pub(super) fn may_serve(
        &self,
        job: &Job,
    ) -> bool {
        let has_required_build = |build| self.confirmed_build() == Some(build);
        job.is_allowed_in(self.data_centre)
            && job.build.is_none_or(has_required_build)
            && (job.allowed_upstreams.is_empty() || job.allowed_upstreams.contains(&self.id))
    }

    /// Its build; `None` if it has restarted and the entry of that run hasn't been read.
    pub(super) fn confirmed_build(&self) -> Option<BuildId> {
        let has_restarted =
            self.started_unix_ms.is_some() && self.reported_start > self.started_unix_ms;
        (!has_restarted).then_some(self.build)
    }

    /// Records the start time in its own report.
    pub(super) fn note_reported_start(
        &mut self,
        started_unix_ms: Option<u64>,
        now: Millis,
    ) {
        let run = self.run();
        self.reported_start = self.reported_start.max(started_unix_ms);
        if self.run() != run {
            self.run_known_at = now;
        }
    }

    /// The start of its latest known run; `None` if it states none.
    pub(super) fn run(&self) -> Option<u64> {
        self.reported_start.max(self.started_unix_ms)
    }

    /// Whether its reports tell one run from the next.
    pub(super) const fn reports_run(&self) -> bool {
        self.reported_start.is_some()
    }

    /// Whether it accepts new requests and its data centre is not evacuated.
    pub(super) fn accepts_requests(
        &self,
        now: Millis,
    ) -> bool {
        self.is_available() && self.evacuated_from.is_none_or(|at| now < at)
    }

    /// Whether it may be cold, so that its cold limit applies.
    pub(super) fn is_cold(
        &self,
        now: Millis,
    ) -> bool {
        now < self.cold_until
    }

    /// Treats it as cold for as long as a start would make it, as it may have restarted or become
    /// cold without its entry saying so yet.
    pub(super) fn assume_cold(
        &mut self,
        now: Millis,
    ) {
        if let Some(limit) = self.cold_limit {
            self.cold_until = self.cold_until.max(now + limit.duration);
        }
    }

    /// Whether the adapter was being loaded when it was last observed.
    pub(super) fn is_loading(
        &self,
        adapter: Option<AdapterVersion>,
    ) -> bool {
        let resident = adapter.and_then(|adapter| self.engine.as_ref()?.resident(adapter));
        resident.is_some_and(|resident| matches!(resident.state, ResidentState::Loading { .. }))
    }

    /// Records that the adapter was expected to be loaded and was not.
    pub(super) fn note_late(
        &mut self,
        adapter: Option<AdapterVersion>,
        now: Millis,
    ) {
        if let (Some(engine), Some(adapter)) = (&mut self.engine, adapter) {
            engine.note_late(adapter, now);
        }
    }

    /// Records the duration of a call, corrected for queueing at the upstream.
    pub(super) fn note_call(
        &mut self,
        took: Millis,
    ) {
        self.call_ms += (self.unqueued_ms(took) - self.call_ms) * SAMPLE_WEIGHT;
    }

    /// The duration of a call without its queueing at the upstream, in milliseconds.
    pub(super) fn unqueued_ms(
        &self,
        took: Millis,
    ) -> f64 {
        let slots = self.slots.max(1);
        let load_factor = f64::from(self.running.max(slots)) / f64::from(slots);
        took.0 as f64 / load_factor
    }

    /// Mean duration of a call without queueing, in milliseconds.
    fn mean_call_ms(
        &self,
        now: Millis,
    ) -> f64 {
        let forecast = &self.statements.forecast;
        forecast.as_ref().map_or(self.call_ms, |forecast| {
            self.usual_call_ms * forecast.factor(now)
        })
    }

    /// Expected duration of a call, in milliseconds.
    pub(super) fn call_time(
        &self,
        now: Millis,
    ) -> f64 {
        let slowdown = if now < self.warmup_until {
            WARMUP_SLOWDOWN
        } else {
            1.0
        };
        let fill = f64::from(self.running) / f64::from(self.slots.max(1));
        self.mean_call_ms(now) * slowdown * (1.0 + fill)
    }

    /// How long work takes here, relative to its expected cost: by load reports where they take effect, otherwise as measured.
    pub(super) fn pace_factor(
        &self,
        now: Millis,
    ) -> f64 {
        let forecast = self.statements.forecast.as_ref();
        forecast.map_or_else(|| self.pace.factor(now), |forecast| forecast.factor(now))
    }

    /// Factor on the usual time of work here now.
    pub(super) fn work_factor(
        &self,
        now: Millis,
    ) -> f64 {
        let warm_up = if now < self.warmup_until {
            WARMUP_SLOWDOWN
        } else {
            1.0
        };
        self.pace_factor(now).max(warm_up)
    }

    /// Number of calls that it runs at once; `None` for an engine, which works on all its requests.
    pub(super) fn call_slots(&self) -> Option<u32> {
        self.engine.is_none().then_some(self.slots)
    }

    /// Throughput per millisecond: prompt tokens on an engine, otherwise calls.
    pub(super) fn capacity(
        &self,
        now: Millis,
    ) -> f64 {
        let (capacity, per_request) = match &self.engine {
            Some(engine) => (engine.backlog.tokens_per_ms(now), engine.mean_prompt_tokens),
            None => (f64::from(self.slots) / self.mean_call_ms(now).max(1.0), 1.0),
        };
        self.statements.request_limit.map_or(capacity, |limit| {
            capacity.min(limit.per_second / 1_000.0 * per_request)
        })
    }
}
