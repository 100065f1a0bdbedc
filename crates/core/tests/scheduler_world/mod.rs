//! Test driver: a scheduler with simulated engines that execute its orders.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    jasmine_core::{
        clock::Millis,
        error::Refusal,
        ids::{
            AccountId, AdapterId, AdapterVersion, BuildId, DataCentreId, ModelId, ServiceId,
            UpstreamId,
        },
        ingress::{PromptPart, PromptSize},
        rights::{CallerTag, Limit},
        scheduler::{
            AttemptId, EngineLimits, EngineStatus, Generation, Job, Order, OrderResult, Outcome,
            RateShare, Scheduler, SchedulerAction as Action, SchedulerSettings, UpstreamStatus,
            WaitReason, Work,
        },
    },
    std::collections::{BTreeMap, HashMap},
};

pub const ENGINES: ServiceId = ServiceId(1);
pub const CALLS: ServiceId = ServiceId(2);
pub const MODEL: ModelId = ModelId(0);
pub const HERE: DataCentreId = DataCentreId(0);
/// The software version of upstreams where a test says nothing else.
pub const BUILD: BuildId = BuildId(0);
/// Adapter slots per engine.
pub const ADAPTER_SLOTS: usize = 2;

/// The scheduler's decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Sent(UpstreamId, Option<u32>),
    Refused(Refusal),
}

/// A scheduler with a simulated clock and the results of its actions.
pub struct World {
    pub scheduler: Scheduler,
    pub now: Millis,
    pub decisions: BTreeMap<u64, Decision>,
    /// What each assigned request waited for longest.
    pub wait_reasons: BTreeMap<u64, WaitReason>,
    pub orders: Vec<(UpstreamId, Order)>,
    pub reports_asked: Vec<UpstreamId>,
    /// Orders left unanswered, for the test to answer.
    pub unanswered: Vec<(UpstreamId, Order)>,
    /// Whether engines answer orders at once.
    pub engines_answer: bool,
    seqs: HashMap<UpstreamId, u64>,
    next_number: u64,
}

impl World {
    /// A leader with `engines` empty engines and no other upstream.
    pub fn leading(engines: u32) -> Self {
        Self::with(engines, SchedulerSettings::default(), true)
    }

    pub fn with(
        engines: u32,
        settings: SchedulerSettings,
        may_order: bool,
    ) -> Self {
        let mut scheduler = Scheduler::new(settings, RateShare::Part(1));
        let now = Millis(100_000);
        scheduler.set_role(may_order, RateShare::Fresh, now);
        scheduler.set_engines(HashMap::from([(ENGINES, limits())]));
        let mut world = Self {
            scheduler,
            now,
            decisions: BTreeMap::new(),
            wait_reasons: BTreeMap::new(),
            orders: Vec::new(),
            reports_asked: Vec::new(),
            unanswered: Vec::new(),
            engines_answer: true,
            seqs: HashMap::new(),
            next_number: 0,
        };
        for id in 0..engines {
            world.add_engine(UpstreamId(id), &[]);
        }
        world
    }

    /// Takes over the time, the decisions and the numbering of requests of another world.
    pub fn continue_from(
        &mut self,
        other: &Self,
    ) {
        self.now = other.now;
        self.decisions.clone_from(&other.decisions);
        self.next_number = other.next_number;
        let share = RateShare::TakenOver;
        self.scheduler.set_role(true, share, self.now);
    }

    pub fn add_engine(
        &mut self,
        id: UpstreamId,
        adapters: &[u32],
    ) {
        let status = upstream(Some(engine(None, adapters)));
        self.set(id, &status);
        self.report(id, &engine(Some(0), adapters));
    }

    pub fn add_server(
        &mut self,
        id: UpstreamId,
    ) {
        self.add_server_of(id, BUILD);
    }

    pub fn add_server_of(
        &mut self,
        id: UpstreamId,
        build: BuildId,
    ) {
        let status = UpstreamStatus {
            build,
            service: CALLS,
            slots: 6,
            engine: None,
            ..upstream(None)
        };
        self.set(id, &status);
    }

    pub fn set(
        &mut self,
        id: UpstreamId,
        status: &UpstreamStatus,
    ) {
        let actions = self.scheduler.set_upstream(id, status, self.now);
        self.apply(actions);
    }

    pub fn report(
        &mut self,
        id: UpstreamId,
        status: &EngineStatus,
    ) {
        let actions = self.scheduler.report(id, Some(status), self.now);
        self.apply(actions);
    }

    pub fn limit(
        &mut self,
        account: u32,
        rate: u64,
        burst: u64,
    ) {
        let limits = BTreeMap::from([(AccountId(account), Limit { rate, burst })]);
        self.scheduler.set_limits(limits, self.now);
    }

    /// Submits a generation for an adapter and returns its number.
    pub fn generate(
        &mut self,
        adapter: u32,
    ) -> u64 {
        self.place(generation(adapter, self.now))
    }

    pub fn place(
        &mut self,
        job: Job,
    ) -> u64 {
        self.next_number += 1;
        let attempt_id = attempt_id(self.next_number);
        let actions = self.scheduler.place(attempt_id, job, self.now);
        self.apply(actions);
        self.next_number
    }

    pub fn first_event(
        &mut self,
        number: u64,
    ) {
        let actions = self.scheduler.first_event(attempt_id(number), self.now);
        self.apply(actions);
    }

    pub fn end(
        &mut self,
        number: u64,
        outcome: Outcome,
    ) {
        let actions = self.scheduler.ended(attempt_id(number), outcome, self.now);
        self.apply(actions);
    }

    /// Withdraws a request.
    pub fn cancel(
        &mut self,
        number: u64,
    ) {
        let actions = self.scheduler.cancel(attempt_id(number), self.now);
        self.apply(actions);
    }

    pub fn answer(
        &mut self,
        upstream: UpstreamId,
        order: Order,
        end: OrderResult,
    ) {
        let actions = self.scheduler.order_ended(upstream, order, end, self.now);
        self.apply(actions);
    }

    /// Advances the clock and runs the scheduler's timers.
    pub fn advance(
        &mut self,
        ms: u64,
    ) {
        let until = self.now + Millis(ms);
        while self.now < until {
            self.now = self.scheduler.wake_at(self.now).min(until);
            let actions = self.scheduler.tick(self.now);
            self.apply(actions);
        }
    }

    pub fn decision(
        &self,
        number: u64,
    ) -> Option<Decision> {
        self.decisions.get(&number).copied()
    }

    /// The upstream that a request was sent to.
    pub fn sent_to(
        &self,
        number: u64,
    ) -> Option<UpstreamId> {
        match self.decision(number)? {
            Decision::Sent(upstream, _) => Some(upstream),
            Decision::Refused(_) => None,
        }
    }

    /// Number of orders to load any version of an adapter.
    pub fn loads_of(
        &self,
        adapter: u32,
    ) -> usize {
        let is_load = |order: &Order| matches!(order, Order::Load { adapter: of, .. } if of.adapter == AdapterId(adapter));
        self.orders
            .iter()
            .filter(|(_, order)| is_load(order))
            .count()
    }

    pub fn apply(
        &mut self,
        actions: Vec<Action>,
    ) {
        for action in actions {
            match action {
                Action::Assign {
                    attempt_id,
                    upstream,
                    version,
                    waited_for,
                } => {
                    self.wait_reasons.insert(attempt_id.number, waited_for);
                    let decision = Decision::Sent(upstream, version);
                    self.decisions.insert(attempt_id.number, decision);
                }
                Action::Refuse {
                    attempt_id,
                    refusal,
                    ..
                } => {
                    let decision = Decision::Refused(refusal);
                    self.decisions.insert(attempt_id.number, decision);
                }
                Action::RequestReport { upstream } => self.reports_asked.push(upstream),
                Action::Order {
                    upstream,
                    order,
                    after_seq,
                } => self.order(upstream, order, after_seq),
            }
        }
    }

    fn order(
        &mut self,
        upstream: UpstreamId,
        order: Order,
        after_seq: u64,
    ) {
        self.orders.push((upstream, order));
        if !self.engines_answer {
            self.unanswered.push((upstream, order));
            return;
        }
        let seq = self.seqs.entry(upstream).or_default();
        assert_eq!(*seq, after_seq, "sequence number mismatch for {order:?}");
        *seq += 1;
        let end = match order {
            Order::Unload { .. } => OrderResult::Holds,
            Order::Load { .. } | Order::LoadModel(_) => OrderResult::Accepted,
        };
        self.answer(upstream, order, end);
    }
}

pub const fn attempt_id(number: u64) -> AttemptId {
    AttemptId { vm: 0, number }
}

pub fn limits() -> EngineLimits {
    EngineLimits {
        slots: 64,
        kv_tokens: 120_000,
        adapter_slots: ADAPTER_SLOTS,
        weights_mb: 1_100.0,
        loads_per_s: 2.0,
        models: vec![(MODEL, 1_000.0, 10.0)],
    }
}

pub fn version(
    adapter: u32,
    version: u32,
) -> AdapterVersion {
    AdapterVersion {
        adapter: AdapterId(adapter),
        version,
    }
}

pub fn engine(
    seq: Option<u64>,
    adapters: &[u32],
) -> EngineStatus {
    EngineStatus {
        started_unix_ms: None,
        seq,
        models: vec![MODEL],
        adapters: adapters
            .iter()
            .map(|&adapter| (MODEL, version(adapter, 1)))
            .collect(),
        coming: Vec::new(),
        is_busy: false,
    }
}

pub fn upstream(engine: Option<EngineStatus>) -> UpstreamStatus {
    UpstreamStatus {
        id_hash: 0,
        service: ENGINES,
        data_centre: Some(HERE),
        build: BUILD,
        slots: 64,
        is_ready: true,
        cold: Millis::ZERO,
        started_unix_ms: Some(1),
        engine,
    }
}

pub fn generation(
    adapter: u32,
    now: Millis,
) -> Job {
    Job {
        account: None,
        caller: CallerTag(u64::from(adapter)),
        cost: 2_000,
        service: ENGINES,
        route: None,
        work: Work::Generation(Generation {
            newest: None,
            shared_parts: Vec::new(),
            model: MODEL,
            adapter: Some(AdapterId(adapter)),
            size: PromptSize {
                prompt: 1_500,
                output: 100,
            },
            length_hint: None,
            parts: vec![PromptPart {
                id: u64::from(adapter),
                tokens: 500,
            }],
        }),
        priority: 1,
        route_priority: 1,
        objective: now + Millis(1_000),
        gap_objective: None,
        deadline: now + Millis(5_000),
        data_centre: Some(HERE),
        allowed_data_centres: Vec::new(),
        build: None,
        body_bytes: 0,
        attempt: 1,
        excluded_upstreams: Vec::new(),
        allowed_upstreams: Vec::new(),
        has_begun: false,
        is_hedge: false,
    }
}

pub fn call(now: Millis) -> Job {
    Job {
        cost: 200,
        service: CALLS,
        work: Work::Call,
        objective: now + Millis(150),
        deadline: now + Millis(1_500),
        ..generation(0, now)
    }
}
