use {
    super::{engine::Engine, health::Health, place::PlaceState},
    crate::{
        clock::Millis,
        ids::{AdapterVersion, DataCentreId, ModelId, ServiceId, UpstreamId},
    },
};

/// How much one answer's time counts for a plain upstream.
const LEARNING: f64 = 0.1;
/// What a plain upstream is taken to need before anything has been seen, in milliseconds.
const INITIAL_MS: f64 = 30.0;
/// For so many calls that run at a plain upstream one more is sent ahead and waits there. That a slot has fallen free is
/// known here some 8 ms later, and the next call takes a few more; until then the slot stands idle while callers wait.
/// At 95 % of what two upstreams of six slots can do, 311 of 1,139 calls of 60 ms were answered within 300 ms with
/// nothing sent ahead, 1,127 with this (the test `calls_ahead`).
const AHEAD_PART: u32 = 3;
/// How much slower an upstream is shortly after its start.
const COLD_FACTOR: f64 = 1.6;

/// What an engine says that it holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineFacts {
    /// Orders that it has accepted since its start; known from its own report only.
    pub seq: Option<u64>,
    /// Base models that it can run.
    pub models: Vec<ModelId>,
    /// Adapters that it can run.
    pub adapters: Vec<(ModelId, AdapterVersion)>,
    /// Adapters on their way; known from its own report only.
    pub coming: Vec<(ModelId, AdapterVersion)>,
    /// Whether an order for a base model is under way.
    pub is_busy: bool,
}

/// What is known of an upstream from its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamFacts {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it stands.
    pub data_centre: Option<DataCentreId>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub is_ready: bool,
    /// How much longer it is slow after its start.
    pub cold: Millis,
    /// Its start, as a number that differs between two runs.
    pub started: Option<u64>,
    /// What it holds, if it is an engine.
    pub engine: Option<EngineFacts>,
}

/// An upstream that requests can be sent to.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub id: UpstreamId,
    pub service: ServiceId,
    pub data_centre: Option<DataCentreId>,
    pub slots: u32,
    pub is_ready: bool,
    pub started: Option<u64>,
    pub cold_until: Millis,
    pub health: Health,
    /// Requests assigned to it that have not ended.
    pub running: u32,
    /// What it needs for a call, in milliseconds.
    call_ms: f64,
    pub engine: Option<Engine>,
}

impl Upstream {
    pub(super) fn new(
        id: UpstreamId,
        facts: &UpstreamFacts,
        engine: Option<Engine>,
        now: Millis,
    ) -> Self {
        Self {
            id,
            service: facts.service,
            data_centre: facts.data_centre,
            slots: facts.slots,
            is_ready: facts.is_ready,
            started: facts.started,
            cold_until: now + facts.cold,
            health: Health::default(),
            running: 0,
            call_ms: INITIAL_MS,
            engine,
        }
    }

    /// Takes what its entry says now.
    pub(super) fn update(
        &mut self,
        facts: &UpstreamFacts,
        now: Millis,
    ) {
        let restarted = facts.started != self.started;
        self.service = facts.service;
        self.data_centre = facts.data_centre;
        self.slots = facts.slots;
        self.is_ready = facts.is_ready;
        self.cold_until = now + facts.cold;
        self.started = facts.started;
        if restarted {
            self.health = Health::default();
        }
        if let (Some(engine), true) = (&mut self.engine, restarted) {
            engine.restart();
        }
    }

    /// Whether the adapter was still on its way by the last word on it.
    pub(super) fn is_loading(
        &self,
        adapter: Option<AdapterVersion>,
    ) -> bool {
        let place = adapter.and_then(|adapter| self.engine.as_ref()?.place(adapter));
        place.is_some_and(|place| matches!(place.state, PlaceState::Coming { .. }))
    }

    /// Notes that an adapter proved not to be there yet.
    pub(super) fn note_late(
        &mut self,
        adapter: Option<AdapterVersion>,
        now: Millis,
    ) {
        if let (Some(engine), Some(adapter)) = (&mut self.engine, adapter) {
            engine.note_late(adapter, now);
        }
    }

    /// Notes how long a call took, less the time that it waited there for a slot.
    pub(super) fn note_call(
        &mut self,
        took: Millis,
    ) {
        let slots = self.slots.max(1);
        let crowd = f64::from(self.running.max(slots)) / f64::from(slots);
        self.call_ms += (took.0 as f64 / crowd - self.call_ms) * LEARNING;
    }

    /// How long a call would take here by what has been seen, in milliseconds.
    pub(super) fn call_time(
        &self,
        now: Millis,
    ) -> f64 {
        let cold = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        let fill = f64::from(self.running) / f64::from(self.slots.max(1));
        self.call_ms * cold * (1.0 + fill)
    }

    /// Work that it does in a millisecond: tokens of prompts if it is an engine, else calls.
    pub(super) fn capacity(&self) -> f64 {
        match &self.engine {
            Some(engine) => engine.backlog.tokens_per_ms(),
            None => f64::from(self.slots) / self.call_ms.max(1.0),
        }
    }

    /// Whether one more call may be sent here: a slot is free, or will be by the time that it is needed.
    pub(super) const fn takes_calls(&self) -> bool {
        self.running < self.slots + self.slots.div_ceil(AHEAD_PART)
    }
}
