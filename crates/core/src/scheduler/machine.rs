use {
    super::{
        Adopted, EngineFacts, EngineLimits, Job, Order, OrderEnd, Outcome, RightsShare,
        SchedulerAction as Action, SchedulerSettings, Ticket, UpstreamFacts, Work,
        choose::{Choice, View},
        fleet::{Fleet, Load},
        loads::{self, ModelLoads},
        repeat_budget::RepeatBudget,
        rights::AccountRates,
        running::{Entry, Stage},
        version_book::{Announcement, VersionBook},
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, AdapterId, AdapterVersion, RequestId, ServiceId, UpstreamId},
        queue::{FairQueue, Priority, QueueSettings, Target, Waiting},
        rights::Limit,
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// The line of requests whose callers belong to no account.
const NO_ACCOUNT: AccountId = AccountId(u32::MAX);
/// How long after its deadline a request is forgotten whose VM never told its end.
const FORGET_AFTER: Millis = Millis(1_000);
/// Waiting requests that are looked at in a millisecond at most. When few wait, each is looked at with every event;
/// when hundreds do, each every few ten milliseconds.
const LOOKS_A_MS: usize = 8;
/// How much later a request counts as having come once it can't be on time: what comes within this time and can
/// goes first.
const LATE_PATIENCE: Millis = Millis(3_000);
/// From the word to send a request until it is at its engine, and from its first event until that is known.
const ON_THE_WAY: Millis = Millis(40);
/// A late request is refused when what waits would take more than one part in so many of the time that it has left:
/// what comes meanwhile and can be on time goes first.
const HOPELESS: u64 = 2;
/// The shortest time after which a refused caller is told to come back.
const LEAST_RETRY: Millis = Millis(100);
/// How long after a takeover the other VMs have all told what they run. An adapter that is ordered to go while it
/// is used blocks its engine until its runs have ended, and nobody can be sent to it meanwhile.
const INTRODUCTIONS: Millis = Millis(500);
/// How often an engine that waits for something is looked at again, at least.
const LOOK_AGAIN: Millis = Millis(50);

/// Which waiting requests are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// Those that can still be on time.
    Timely,
    /// All.
    All,
}

/// The scheduler of one deployment, or the stand-by of one VM.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    may_order: bool,
    /// From when on adapters may be dropped.
    evicts_from: Millis,
    fleet: Fleet,
    versions: VersionBook,
    rates: AccountRates,
    repeats: HashMap<ServiceId, RepeatBudget>,
    queue: FairQueue,
    entries: HashMap<RequestId, Entry>,
    by_ticket: HashMap<Ticket, RequestId>,
    /// Waiting requests by adapter.
    wanted: HashMap<AdapterId, u32>,
    /// Work that waits, by service: tokens of prompts, or calls.
    waiting: HashMap<ServiceId, f64>,
    /// Waiting requests that can still be on time, with until when.
    timely: BTreeSet<(Millis, RequestId)>,
    model_loads: ModelLoads,
    next_request: u64,
    swept_at: Millis,
    /// How often a waiting request was looked at.
    looked: u64,
}

impl Scheduler {
    /// A stand-by with a share of the rights, which gives no orders.
    pub fn new(
        settings: SchedulerSettings,
        share: RightsShare,
    ) -> Self {
        Self {
            settings,
            may_order: false,
            evicts_from: Millis::ZERO,
            fleet: Fleet::default(),
            versions: VersionBook::default(),
            rates: AccountRates::new(share),
            repeats: HashMap::new(),
            queue: FairQueue::new(QueueSettings {
                judges_by_rate: false,
                ..QueueSettings::default()
            }),
            entries: HashMap::new(),
            by_ticket: HashMap::new(),
            wanted: HashMap::new(),
            waiting: HashMap::new(),
            timely: BTreeSet::new(),
            model_loads: ModelLoads::default(),
            next_request: 0,
            swept_at: Millis::ZERO,
            looked: 0,
        }
    }

    /// Changes what may be decided here: orders to engines, and the share of the rights.
    pub fn set_role(
        &mut self,
        may_order: bool,
        share: RightsShare,
        now: Millis,
    ) {
        if may_order && !self.may_order {
            self.evicts_from = match share {
                RightsShare::Fresh => now,
                RightsShare::TakenOver | RightsShare::Part(_) => now + INTRODUCTIONS,
            };
            for (_, engine) in self.fleet.engines_mut() {
                engine.has_order = false;
                engine.doubt(Millis::ZERO);
            }
        }
        self.may_order = may_order;
        self.rates.set_share(share, now);
    }

    /// Changes how it decides.
    pub fn set_settings(
        &mut self,
        settings: SchedulerSettings,
    ) {
        self.settings = settings;
    }

    /// Sets the limits of the accounts that have one.
    pub fn set_limits(
        &mut self,
        limits: BTreeMap<AccountId, Limit>,
        now: Millis,
    ) {
        self.rates.set_limits(limits, now);
    }

    /// Sets which services have engines, and what these can hold.
    pub fn set_engines(
        &mut self,
        engines: HashMap<ServiceId, EngineLimits>,
    ) {
        self.fleet.set_engines(engines);
    }

    /// Takes what an upstream's entry says.
    pub fn set_upstream(
        &mut self,
        id: UpstreamId,
        facts: &UpstreamFacts,
        now: Millis,
    ) -> Vec<Action> {
        let load = self.settings.loads;
        self.fleet.set(id, facts, self.may_order, &load, now);
        self.decide(now)
    }

    /// Forgets an upstream whose entry is gone.
    pub fn remove_upstream(
        &mut self,
        id: UpstreamId,
    ) {
        self.fleet.remove(id);
    }

    /// Notes that an operator has announced a version of an adapter.
    pub fn announce_version(
        &mut self,
        adapter: AdapterId,
        version: u32,
        how: Announcement,
        now: Millis,
    ) {
        self.versions.announce(adapter, version, how, now);
    }

    /// Takes an engine's own report; none where it couldn't be had.
    pub fn report(
        &mut self,
        id: UpstreamId,
        facts: Option<&EngineFacts>,
        now: Millis,
    ) -> Vec<Action> {
        if let Some(facts) = facts {
            let load = self.settings.loads;
            self.fleet.report(id, facts, &load, now);
        }
        self.decide(now)
    }

    /// Takes the answer to an order.
    pub fn order_ended(
        &mut self,
        upstream: UpstreamId,
        order: Order,
        end: OrderEnd,
        now: Millis,
    ) -> Vec<Action> {
        let load = self.settings.loads;
        let fleet = &mut self.fleet;
        let next = loads::order_ended(fleet, &self.versions, upstream, order, end, &load, now);
        let mut actions: Vec<Action> = next.into_iter().collect();
        actions.extend(self.decide(now));
        actions
    }

    /// A request wants an upstream.
    pub fn place(
        &mut self,
        ticket: Ticket,
        job: Job,
        now: Millis,
    ) -> Vec<Action> {
        let refuse = |refusal| vec![Action::Refuse { ticket, refusal }];
        if let Err(refusal) = self.check_repeat(&job, now) {
            return refuse(refusal);
        }
        if let Err(refusal) = self.check_wait(&job, now) {
            return refuse(refusal);
        }
        let charge = match self.charge(&job, now) {
            Ok(charge) => charge,
            Err(refusal) => return refuse(refusal),
        };
        let request = RequestId(self.next_request);
        let waiting = self.waiting(request, &job, now);
        if let Err(refusal) = self.queue.push(waiting, now) {
            if let Some(charge) = charge {
                self.rates.settle(charge, false, now);
            }
            return refuse(refusal);
        }
        self.next_request += 1;
        self.by_ticket.insert(ticket, request);
        self.note_wanted(&job, true);
        self.timely.insert((self.timely_until(&job), request));
        let forget_at = job.deadline + FORGET_AFTER;
        let entry = Entry {
            ticket,
            timely_until: self.timely_until(&job),
            look_at: Millis::ZERO,
            job,
            stage: Stage::Waiting,
            charge,
            forget_at,
        };
        self.entries.insert(request, entry);
        self.decide(now)
    }

    /// The caller of a request that waits has gone, or its VM gives it up.
    pub fn cancel(
        &mut self,
        ticket: Ticket,
        now: Millis,
    ) -> Vec<Action> {
        self.ended(ticket, Outcome::Abandoned, now)
    }

    /// The first event of an assigned generation has been seen.
    pub fn first_event(
        &mut self,
        ticket: Ticket,
        now: Millis,
    ) -> Vec<Action> {
        let Some(&request) = self.by_ticket.get(&ticket) else {
            return Vec::new();
        };
        let Some(entry) = self.entries.get(&request) else {
            return Vec::new();
        };
        let Stage::Running { upstream, adapter } = entry.stage else {
            return Vec::new();
        };
        if let (Some(engine), Some(generation)) =
            (self.fleet.engine_mut(upstream), entry.job.generation())
        {
            engine.backlog.read(request, now);
            engine
                .prefixes
                .note(generation.adapter, &generation.parts, now);
            if let Some(adapter) = adapter {
                engine.note_ready(adapter);
            }
        }
        self.decide(now)
    }

    /// A request has ended, whether it was assigned or still waits.
    pub fn ended(
        &mut self,
        ticket: Ticket,
        outcome: Outcome,
        now: Millis,
    ) -> Vec<Action> {
        if let Some(request) = self.by_ticket.get(&ticket).copied() {
            self.finish(request, outcome, now);
        }
        self.decide(now)
    }

    /// Takes over requests that run already.
    pub fn adopt(
        &mut self,
        adopted: Adopted,
        now: Millis,
    ) {
        let Adopted {
            ticket,
            job,
            upstream,
            version,
            has_begun,
        } = adopted;
        if self.by_ticket.contains_key(&ticket) {
            return;
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let adapter = job.generation().and_then(|generation| generation.adapter);
        let adapter = adapter.map(|adapter| match version {
            Some(version) => AdapterVersion { adapter, version },
            None => self.versions.wanted(adapter),
        });
        let load = self.load(&job, upstream, now);
        self.fleet.assign(upstream, request, adapter, load, now);
        if has_begun && let Some(engine) = self.fleet.engine_mut(upstream) {
            engine.backlog.remove(request, now);
        }
        self.by_ticket.insert(ticket, request);
        let forget_at = job.deadline + FORGET_AFTER;
        let entry = Entry {
            ticket,
            timely_until: self.timely_until(&job),
            look_at: Millis::ZERO,
            job,
            stage: Stage::Running { upstream, adapter },
            charge: None,
            forget_at,
        };
        self.entries.insert(request, entry);
    }

    /// Forgets all requests of a VM that is gone.
    pub fn forget_vm(
        &mut self,
        vm: u32,
        now: Millis,
    ) -> Vec<Action> {
        self.forget(|ticket| ticket.vm == vm, now)
    }

    /// Forgets all requests of other VMs, as they are another scheduler's from now on.
    pub fn forget_others(
        &mut self,
        vm: u32,
        now: Millis,
    ) -> Vec<Action> {
        self.forget(|ticket| ticket.vm != vm, now)
    }

    fn forget<F>(
        &mut self,
        is_gone: F,
        now: Millis,
    ) -> Vec<Action>
    where
        F: Fn(Ticket) -> bool,
    {
        let gone: Vec<RequestId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_gone(entry.ticket))
            .map(|(&request, _)| request)
            .collect();
        for request in gone {
            self.finish(request, Outcome::Abandoned, now);
        }
        self.decide(now)
    }

    /// Time has passed.
    pub fn tick(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        if now.since(self.swept_at) >= FORGET_AFTER {
            self.swept_at = now;
            let lost: Vec<RequestId> = self
                .entries
                .iter()
                .filter(|(_, entry)| now >= entry.forget_at)
                .map(|(&request, _)| request)
                .collect();
            for request in lost {
                self.finish(request, Outcome::Abandoned, now);
            }
        }
        self.decide(now)
    }

    /// When [`Self::tick`] is wanted at the latest.
    pub fn wake_at(
        &self,
        now: Millis,
    ) -> Millis {
        let idle = now + FORGET_AFTER;
        let reports = self
            .fleet
            .upstreams
            .values()
            .filter_map(|up| up.engine.as_ref()?.report_due())
            .filter(|_| self.may_order);
        let waiting = (!self.queue.is_empty()).then(|| now + LOOK_AGAIN);
        let ready = self
            .fleet
            .upstreams
            .values()
            .filter_map(|up| up.engine.as_ref())
            .flat_map(|engine| engine.places.iter())
            .filter_map(|place| place.wait(now))
            .filter(|wait| *wait > Millis::ZERO && !self.queue.is_empty())
            .map(|wait| now + wait);
        reports
            .chain(waiting)
            .chain(ready)
            .chain(self.queue.next_deadline())
            .fold(idle, Millis::min)
            .max(now + Millis(1))
    }

    /// Number of requests that wait.
    pub fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests that were assigned and have not ended.
    pub fn running_len(&self) -> usize {
        self.entries.len() - self.queue.len()
    }

    /// How often a waiting request was looked at: most of what the scheduler does.
    pub const fn looked(&self) -> u64 {
        self.looked
    }

    /// Whether a request was assigned and has not ended.
    pub fn is_running(
        &self,
        ticket: Ticket,
    ) -> bool {
        let request = self.by_ticket.get(&ticket);
        let entry = request.and_then(|request| self.entries.get(request));
        entry.is_some_and(|entry| matches!(entry.stage, Stage::Running { .. }))
    }

    /// Whether some upstream of the service takes work.
    pub fn has_upstream(
        &self,
        service: ServiceId,
    ) -> bool {
        self.fleet.ready(service).next().is_some()
    }

    /// A repeat is refused where the service has had its share of them.
    fn check_repeat(
        &mut self,
        job: &Job,
        now: Millis,
    ) -> Result<(), Refusal> {
        let budget = self.repeats.entry(job.service).or_default();
        if job.attempt <= 1 {
            budget.note_request(&self.settings.repeats, now);
            return Ok(());
        }
        if budget.take(&self.settings.repeats, now) {
            Ok(())
        } else {
            Err(Refusal::new(ErrorKind::NoUpstream))
        }
    }

    /// A request that could not be sent before its deadline is refused when it comes.
    fn check_wait(
        &self,
        job: &Job,
        now: Millis,
    ) -> Result<(), Refusal> {
        let wait = self.expected_wait(job.service);
        let left = job.deadline.since(now + self.least_time(job));
        if wait < left {
            return Ok(());
        }
        let late = wait.since(left).max(LEAST_RETRY);
        Err(Refusal::after(ErrorKind::CannotMeetDeadline, late))
    }

    /// How long all that waits for a service keeps its upstreams busy. An upstream's own speed says so, and not how
    /// fast the queue has emptied lately: what waits for an adapter holds up nobody else.
    fn expected_wait(
        &self,
        service: ServiceId,
    ) -> Millis {
        let waiting = self.waiting.get(&service).copied().unwrap_or_default();
        let per_ms = self.fleet.capacity(service);
        match per_ms {
            none if none <= 0.0 => Millis::ZERO,
            per_ms => Millis((waiting / per_ms) as u64),
        }
    }

    /// A request is charged for its first attempt only.
    fn charge(
        &mut self,
        job: &Job,
        now: Millis,
    ) -> Result<Option<crate::rights::Charge>, Refusal> {
        if job.attempt > 1 {
            return Ok(None);
        }
        self.rates.admit(job, now)
    }

    fn waiting(
        &self,
        request: RequestId,
        job: &Job,
        now: Millis,
    ) -> Waiting {
        let least = self.least_time(job);
        let latest = Millis(job.deadline.0.saturating_sub(least.0));
        Waiting {
            request,
            account: job.account.unwrap_or(NO_ACCOUNT),
            priority: class(job.priority),
            cost: job.cost.max(1),
            deadline: latest.max(now),
            target: target(job),
        }
    }

    /// Until when a request has to be sent to be on time: behind as many prompts as an engine may have, and with
    /// its own to be read.
    fn timely_until(
        &self,
        job: &Job,
    ) -> Millis {
        let needed = match job.generation() {
            None => self.settings.least_call,
            Some(generation) => {
                let tokens = f64::from(generation.size.prompt);
                let read = tokens / self.fleet.speed(job.service);
                self.settings.engine_backlog + Millis(read as u64) + ON_THE_WAY
            }
        };
        Millis(job.objective.0.saturating_sub(needed.0))
    }

    /// How long a request takes at the least once it is sent.
    const fn least_time(
        &self,
        job: &Job,
    ) -> Millis {
        match job.work {
            Work::Call => self.settings.least_call,
            Work::Generation(_) => self.settings.least_generation,
        }
    }

    /// Puts requests that can't be on time any more behind those that can, and refuses them where even what
    /// waits now would take most of the time that they have left.
    ///
    /// When more comes than can be run, taking requests by age makes all of them late: each waits until just
    /// after its objective. An answer in time is worth three late ones to the users, and a caller that is
    /// refused at once can still do something else.
    fn postpone_late(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(until, request)) = self.timely.first()
            && until <= now
        {
            self.timely.remove(&(until, request));
            let Some(entry) = self.entries.get(&request) else {
                continue;
            };
            let wait = self.expected_wait(entry.job.service);
            let left = entry.job.deadline.since(now);
            if Millis(wait.0 * HOPELESS) > left {
                let refusal = Refusal::after(ErrorKind::CannotMeetDeadline, wait.max(LEAST_RETRY));
                let ticket = entry.ticket;
                self.finish(request, Outcome::Abandoned, now);
                actions.push(Action::Refuse { ticket, refusal });
            } else {
                self.queue.postpone(request, LATE_PATIENCE, now);
            }
        }
        actions
    }

    fn note_wanted(
        &mut self,
        job: &Job,
        waits: bool,
    ) {
        let work = job
            .generation()
            .map_or(1.0, |generation| f64::from(generation.size.prompt));
        let sum = self.waiting.entry(job.service).or_default();
        *sum = (*sum + if waits { work } else { -work }).max(0.0);
        let Some(adapter) = job.generation().and_then(|generation| generation.adapter) else {
            return;
        };
        let count = self.wanted.entry(adapter).or_default();
        *count = if waits {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
        if *count == 0 {
            self.wanted.remove(&adapter);
        }
    }

    fn finish(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        now: Millis,
    ) {
        let Some(entry) = self.entries.remove(&request) else {
            return;
        };
        self.by_ticket.remove(&entry.ticket);
        let has_run = match entry.stage {
            Stage::Waiting => {
                self.timely.remove(&(entry.timely_until, request));
                self.queue.cancel(request, now);
                self.note_wanted(&entry.job, false);
                false
            }
            Stage::Running { upstream, adapter } => {
                let total = entry.job.generation().map_or(0, |g| g.size.total());
                self.fleet.release(upstream, request, adapter, total, now);
                self.fleet.learn(upstream, adapter, outcome, now);
                true
            }
        };
        if let Some(charge) = entry.charge {
            self.rates.settle(charge, has_run, now);
        }
    }

    /// Sends, loads and refuses whatever can be decided now.
    fn decide(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        let mut actions = self.refuse_late(now);
        actions.extend(self.postpone_late(now));
        self.send_and_load(Turn::Timely, now, &mut actions);
        self.send_and_load(Turn::All, now, &mut actions);
        if self.may_order {
            actions.extend(self.model_loads.plan(&mut self.fleet, now));
            for (upstream, engine) in self.fleet.engines_mut() {
                if !engine.has_order && engine.wants_report(now) {
                    actions.push(Action::AskReport { upstream });
                }
            }
        }
        actions
    }

    fn refuse_late(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        let expired = self.queue.expire(now);
        let refuse = |waiting: Waiting| {
            let entry = self.entries.remove(&waiting.request)?;
            self.timely.remove(&(entry.timely_until, waiting.request));
            self.by_ticket.remove(&entry.ticket);
            self.note_wanted(&entry.job, false);
            if let Some(charge) = entry.charge {
                self.rates.settle(charge, false, now);
            }
            let kind = if self.has_upstream(entry.job.service) {
                ErrorKind::CannotMeetDeadline
            } else {
                ErrorKind::NoUpstream
            };
            Some(Action::Refuse {
                ticket: entry.ticket,
                refusal: Refusal::new(kind),
            })
        };
        expired.into_iter().filter_map(refuse).collect()
    }

    fn send_and_load(
        &mut self,
        turn: Turn,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let mut looked = 0;
        loop {
            let mut sent = None;
            let popped = {
                let Self {
                    queue,
                    entries,
                    fleet,
                    versions,
                    settings,
                    wanted,
                    timely,
                    ..
                } = self;
                let may_order = self.may_order;
                let pause = Millis((queue.len() / LOOKS_A_MS) as u64);
                let may_evict = now >= self.evicts_from;
                queue.pop(now, |waiting| {
                    let Some(entry) = entries.get_mut(&waiting.request) else {
                        return true;
                    };
                    let until = entry.timely_until;
                    if now < entry.look_at
                        || (turn == Turn::Timely && !timely.contains(&(until, waiting.request)))
                    {
                        return false;
                    }
                    looked += 1;
                    let view = View {
                        fleet,
                        versions,
                        settings,
                        wanted,
                        may_order,
                        may_evict,
                        now,
                    };
                    let Choice { send, load } = view.choose(&entry.job);
                    if let Some(plan) = load {
                        let order = loads::begin(fleet, versions, &plan, &settings.loads, now);
                        actions.extend(order);
                    }
                    if send.is_none() {
                        entry.look_at = now + pause;
                    }
                    sent = send;
                    send.is_some()
                })
            };
            match (popped, sent) {
                (Some(waiting), Some((upstream, adapter))) => {
                    actions.extend(self.assign(waiting.request, upstream, adapter, now));
                }
                (Some(_), None) => {}
                (None, _) => break,
            }
        }
        self.looked += looked;
    }

    fn assign(
        &mut self,
        request: RequestId,
        upstream: UpstreamId,
        adapter: Option<AdapterVersion>,
        now: Millis,
    ) -> Option<Action> {
        let job = self.entries.get(&request)?.job.clone();
        let load = self.load(&job, upstream, now);
        self.fleet.assign(upstream, request, adapter, load, now);
        self.note_wanted(&job, false);
        let entry = self.entries.get_mut(&request)?;
        self.timely.remove(&(entry.timely_until, request));
        entry.stage = Stage::Running { upstream, adapter };
        let version = adapter
            .filter(|adapter| self.versions.announced_version(adapter.adapter).is_some())
            .map(|adapter| adapter.version);
        Some(Action::Assign {
            ticket: entry.ticket,
            upstream,
            version,
        })
    }

    fn load(
        &self,
        job: &Job,
        upstream: UpstreamId,
        now: Millis,
    ) -> Load {
        let view = View {
            fleet: &self.fleet,
            versions: &self.versions,
            settings: &self.settings,
            wanted: &self.wanted,
            may_order: self.may_order,
            may_evict: now >= self.evicts_from,
            now,
        };
        let engine = self
            .fleet
            .upstreams
            .get(&upstream)
            .and_then(|up| up.engine.as_ref());
        engine.map_or_else(Load::default, |engine| view.load_on(job, engine))
    }
}

/// The queue's class of a rank.
const fn class(priority: u8) -> Priority {
    match priority {
        0 => Priority::High,
        1 | 2 => Priority::Normal,
        _ => Priority::Low,
    }
}

/// What requests can run on at the same times. The version is decided when a request is sent, so the line of
/// an adapter is one, whatever version is announced meanwhile.
fn target(job: &Job) -> Target {
    match job.generation() {
        None => Target::Service(job.service),
        Some(generation) => match generation.adapter {
            Some(adapter) => Target::Adapter(AdapterVersion {
                adapter,
                version: 0,
            }),
            None => Target::Base(generation.model),
        },
    }
}
