use {
    jasmine_core::{
        clock::Millis,
        ids::{
            AccountId, AdapterId, AdapterVersion, BuildId, DataCentreId, ModelId, ServiceId,
            UpstreamId,
        },
        ingress::{PromptPart, PromptSize},
        rights::CallerTag,
        scheduler::{
            AttemptId, EngineLimits, EngineStatus, Generation, HardLoadSettings, Job, Order,
            OrderResult, Outcome, RateShare, Scheduler, SchedulerAction as Action,
            SchedulerSettings, UpstreamStatus, Work,
        },
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
    },
};

const ENGINE_SERVICE: ServiceId = ServiceId(1);
const CALL_SERVICE: ServiceId = ServiceId(2);
const MODEL: ModelId = ModelId(0);
const ADAPTERS: u32 = 10_000;
/// Exponent of the Zipf distribution of requests over adapters.
const ZIPF_EXPONENT: f64 = 1.2;
const ACCOUNTS: u32 = 16;
/// One in this many requests is a service call.
const REQUESTS_PER_CALL: u32 = 5;
const CALL_DURATION: Millis = Millis(20);
/// Prompt tokens that an engine processes per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 19.0;
/// Network delay from the scheduler to an upstream.
const NETWORK_DELAY: Millis = Millis(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    FirstToken(u64),
    End(u64),
    Accepted(UpstreamId, usize),
    Tick,
}

struct Sent {
    objective: Millis,
    output: Millis,
}

/// Simulated engines and servers that complete all work after a computed time.
pub struct SimulatedFleet {
    scheduler: Scheduler,
    started: Millis,
    now: Millis,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    orders: Vec<(Order, OrderResult)>,
    next_seq: u64,
    busy_until: HashMap<UpstreamId, Millis>,
    sent: HashMap<u64, Sent>,
    jobs: HashMap<u64, Job>,
    cumulative_weights: Vec<f64>,
    rng: ChaCha8Rng,
    pub first_tokens: u64,
    /// Requests whose first token came before their objective.
    pub in_time: u64,
    pub refused: u64,
    pub loads: u64,
}

impl SimulatedFleet {
    pub fn new(
        engines: u32,
        is_contended: bool,
    ) -> Self {
        let now = Millis(100_000);
        let settings = SchedulerSettings {
            hard_load: HardLoadSettings {
                contended: is_contended,
                ..HardLoadSettings::default()
            },
            ..SchedulerSettings::default()
        };
        let mut scheduler = Scheduler::new(settings, RateShare::Part(1));
        scheduler.set_role(true, RateShare::Fresh, now);
        scheduler.set_engines(HashMap::from([(ENGINE_SERVICE, engine_limits())]));
        for id in 0..engines {
            let id = UpstreamId(id);
            let status = upstream_status(ENGINE_SERVICE, 64, Some(idle_status(None)));
            scheduler.set_upstream(id, &status, now);
            scheduler.report(id, Some(&idle_status(Some(0))), now);
        }
        for id in 0..4 {
            let status = upstream_status(CALL_SERVICE, 6, None);
            scheduler.set_upstream(UpstreamId(engines + id), &status, now);
        }
        let mut sum = 0.0;
        let cumulative_weights = (1..=ADAPTERS)
            .map(|rank| {
                sum += f64::from(rank).powf(-ZIPF_EXPONENT);
                sum
            })
            .collect();
        Self {
            scheduler,
            started: now,
            now,
            events: BinaryHeap::new(),
            orders: Vec::new(),
            next_seq: 0,
            busy_until: HashMap::new(),
            sent: HashMap::new(),
            jobs: HashMap::new(),
            cumulative_weights,
            rng: ChaCha8Rng::seed_from_u64(7),
            first_tokens: 0,
            in_time: 0,
            refused: 0,
            loads: 0,
        }
    }

    /// Sends `per_s` requests per second for this many seconds and processes all events.
    pub fn run(
        &mut self,
        per_s: u64,
        seconds: u64,
    ) {
        for number in 0..per_s * seconds {
            let at = self.started + Millis(number * 1_000 / per_s);
            self.events.push(Reverse((at, number, Event::Arrive)));
        }
        self.next_seq = per_s * seconds;
        self.schedule(Millis(1), Event::Tick);
        let end = self.started + Millis::from_secs(seconds + 5);
        while let Some(Reverse((at, number, event))) = self.events.pop()
            && at <= end
        {
            self.now = at;
            self.handle(number, event);
        }
    }

    /// Simulated time since the start.
    pub fn elapsed(&self) -> Millis {
        self.now.since(self.started)
    }

    pub fn evaluations(&self) -> u64 {
        self.scheduler.evaluations()
    }

    pub fn scanned(&self) -> u64 {
        self.scheduler.scanned()
    }

    fn schedule(
        &mut self,
        pause: Millis,
        event: Event,
    ) {
        self.next_seq += 1;
        self.events
            .push(Reverse((self.now + pause, self.next_seq, event)));
    }

    fn handle(
        &mut self,
        number: u64,
        event: Event,
    ) {
        let now = self.now;
        let actions = match event {
            Event::Arrive => {
                let job = self.create_job();
                self.jobs.insert(number, job.clone());
                self.scheduler.place(attempt_id(number), job, now)
            }
            Event::FirstToken(number) => {
                self.first_tokens += 1;
                let sent = &self.sent[&number];
                self.in_time += u64::from(now <= sent.objective);
                let output = sent.output;
                self.schedule(output, Event::End(number));
                self.scheduler.first_event(attempt_id(number), now)
            }
            Event::End(number) => {
                let outcome = Outcome::Answered {
                    took: CALL_DURATION,
                };
                self.scheduler.ended(attempt_id(number), outcome, now)
            }
            Event::Accepted(upstream, order) => {
                let (order, end) = self.orders[order];
                self.scheduler.order_ended(upstream, order, end, now)
            }
            Event::Tick => {
                let actions = self.scheduler.tick(now);
                let due = self.scheduler.wake_at(now).since(now);
                self.schedule(due.min(Millis(50)), Event::Tick);
                actions
            }
        };
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(
        &mut self,
        action: Action,
    ) {
        match action {
            Action::Assign {
                attempt_id,
                upstream,
                ..
            } => self.send(attempt_id.number, upstream),
            Action::Refuse { .. } => self.refused += 1,
            Action::Order {
                upstream, order, ..
            } => {
                let end = match order {
                    Order::Unload { .. } => OrderResult::Holds,
                    Order::Load { .. } | Order::LoadModel(_) => OrderResult::Accepted,
                };
                self.loads += u64::from(matches!(order, Order::Load { .. }));
                self.orders.push((order, end));
                let at = self.orders.len() - 1;
                self.schedule(NETWORK_DELAY, Event::Accepted(upstream, at));
            }
            Action::RequestReport { .. } => {}
        }
    }

    fn send(
        &mut self,
        number: u64,
        upstream: UpstreamId,
    ) {
        let job = &self.jobs[&number];
        let Some(generation) = job.generation() else {
            let pause = CALL_DURATION + NETWORK_DELAY;
            return self.schedule(pause, Event::End(number));
        };
        let prefill_ms = f64::from(generation.size.prompt) / PREFILL_TOKENS_PER_MS;
        let output = Millis(u64::from(generation.size.output) * 12);
        let sent = Sent {
            objective: job.objective,
            output,
        };
        self.sent.insert(number, sent);
        let free = self.busy_until.entry(upstream).or_default();
        let done = (*free).max(self.now + NETWORK_DELAY) + Millis(prefill_ms as u64);
        *free = done;
        let pause = done.since(self.now);
        self.schedule(pause, Event::FirstToken(number));
    }

    fn create_job(&mut self) -> Job {
        let now = self.now;
        let account = AccountId(self.rng.random_range(0..ACCOUNTS));
        if self.rng.random_range(0..REQUESTS_PER_CALL) == 0 {
            return Job {
                service: CALL_SERVICE,
                work: Work::Call,
                objective: now + Millis(100),
                gap_objective: None,
                deadline: now + Millis(1_500),
                priority: 2,
                ..self.create_generation(account)
            };
        }
        self.create_generation(account)
    }

    fn create_generation(
        &mut self,
        account: AccountId,
    ) -> Job {
        let total = self.cumulative_weights[self.cumulative_weights.len() - 1];
        let drawn = self.rng.random_range(0.0..total);
        let adapter = self.cumulative_weights.partition_point(|&sum| sum < drawn) as u32;
        let part = |id: u64, tokens| PromptPart { id, tokens };
        let subject = self.rng.random_range(0..64);
        Job {
            account: Some(account),
            caller: CallerTag(u64::from(account.0)),
            cost: 2_400,
            service: ENGINE_SERVICE,
            route: None,
            work: Work::Generation(Generation {
                newest: None,
                shared_parts: Vec::new(),
                model: MODEL,
                adapter: Some(AdapterId(adapter)),
                size: PromptSize {
                    prompt: self.rng.random_range(600..3_600),
                    output: self.rng.random_range(8..60),
                },
                length_hint: None,
                parts: vec![part(subject % 3, 341), part(100 + subject, 227)],
            }),
            priority: 1,
            route_priority: 1,
            objective: self.now + Millis(1_000),
            gap_objective: None,
            deadline: self.now + Millis(5_000),
            data_centre: Some(DataCentreId(0)),
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
}

const fn attempt_id(number: u64) -> AttemptId {
    AttemptId { vm: 1, number }
}

fn engine_limits() -> EngineLimits {
    EngineLimits {
        slots: 64,
        kv_tokens: 126_000,
        adapter_slots: 6,
        weights_mb: 44_000.0,
        loads_per_s: 40.0,
        models: vec![(MODEL, 42_700.0, 12.0)],
    }
}

fn idle_status(seq: Option<u64>) -> EngineStatus {
    EngineStatus {
        started_unix_ms: None,
        seq,
        models: vec![MODEL],
        adapters: Vec::<(ModelId, AdapterVersion)>::new(),
        coming: Vec::new(),
        is_busy: false,
    }
}

fn upstream_status(
    service: ServiceId,
    slots: u32,
    engine: Option<EngineStatus>,
) -> UpstreamStatus {
    UpstreamStatus {
        id_hash: 0,
        service,
        data_centre: Some(DataCentreId(0)),
        build: BuildId(0),
        slots,
        is_ready: true,
        cold: Millis::ZERO,
        started_unix_ms: Some(1),
        engine,
    }
}
