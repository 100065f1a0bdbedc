use {
    super::{
        Assignment, JobSpec, NameInterner, RunningSpec, StatedSpec, VmHistory,
        facts::{engine_facts, engine_limits, upstream_facts},
        quarantine_log::QuarantineLog,
        retry_log::RetryLog,
        shed_log::ShedLog,
        stored_evidence::StoredEvidence,
        told_returns::ToldReturns,
    },
    crate::{
        clock::Clock,
        load::{WorkMeter, WorkPart},
    },
    jasmine_conf::settings::ColdUpstreamSettings,
    jasmine_core::{
        ask_shares::AskFilter,
        clock::Millis,
        error::Refusal,
        ids::UpstreamId,
        ingress::{ColdStart, IngressConfig, UpstreamEntry},
        quarantine::PartSet,
        return_times::{ReturnCounts, ReturnPromise},
        rights::CallerTag,
        scheduler::{
            AdmissionShare, Announcement, AttemptHistory, AttemptId, ColdLimit, EngineStatus,
            EnginesToPause, Order, OrderResult, Outcome, RateDecision, RateHistory, RateShare,
            RetryTotals, RunningRequest, Scheduler, SchedulerAction as Action, SchedulerSettings,
            SignalChanges, StatedUpstream, UpstreamSignals, WaitReason, WaitTimes, WaitingAges,
        },
    },
    jasmine_platform::engine::EngineReport,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::{Notify, mpsc, oneshot, watch},
    xxhash_rust::xxh3::xxh3_64,
};

/// Interval of checks whether upstreams sent implausible load reports.
const REPORT_LOG_INTERVAL: Millis = Millis(1_000);

/// The scheduler's decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent to this upstream.
    Assigned(Assignment),
    /// The request is refused and has not run.
    Refused {
        /// The error kind and the retry delay.
        refusal: Refusal,
        /// What it waited for longest.
        waited_for: WaitReason,
    },
}

/// An upstream that is asked only to see whether it answers.
#[derive(Clone, Debug)]
pub struct ProbeTarget {
    /// Its id in the scheduler.
    pub id: UpstreamId,
    /// Its name.
    pub name: Rc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// The name of its service.
    pub service: String,
}

/// A request to send to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineTask {
    /// An order, valid only if the engine has accepted exactly this many orders before.
    Order(UpstreamId, Order, u64),
    /// A request for the engine's report.
    Report(UpstreamId),
}

/// Runs the scheduler state machine of this process: maps names to ids, answers waiting requests, queues engine tasks.
#[derive(Debug)]
pub struct LocalScheduler {
    pub(super) clock: Clock,
    /// What the processor time of this VM goes to.
    pub work: Rc<WorkMeter>,
    pub(super) names: RefCell<NameInterner>,
    pub(super) scheduler: RefCell<Scheduler>,
    waiters: RefCell<HashMap<AttemptId, oneshot::Sender<Verdict>>>,
    /// What the leader has said about accounts that are over their rate.
    pub(super) ask_filter: RefCell<AskFilter>,
    shed_log: RefCell<ShedLog>,
    retry_log: RefCell<RetryLog>,
    told_returns: RefCell<ToldReturns>,
    addresses: RefCell<HashMap<UpstreamId, SocketAddr>>,
    /// Upstreams whose entries were removed.
    removed_upstreams: RefCell<HashSet<UpstreamId>>,
    /// The allowance of cold upstreams beyond the rate that their service states.
    cold_upstreams: ColdUpstreamSettings,
    tasks: mpsc::UnboundedSender<EngineTask>,
    wake: Notify,
    /// How often the scheduler has decided.
    decisions: Cell<u64>,
    /// Whether something was noted about which [`Self::run`] has to decide.
    is_decision_due: Cell<bool>,
    /// When the timer of [`Self::run`] is due.
    timer_due: Cell<Millis>,
    may_order: Cell<bool>,
    /// The parts in quarantine that the store holds.
    pub(super) stored_quarantine: RefCell<BTreeSet<PartSet>>,
    /// A hash of the parts that this VM refuses.
    pub(super) quarantine_hash: Cell<u64>,
    /// The latest time at which the store held no other announcements than those applied.
    pub(super) complete_at: Cell<Option<Millis>>,
    /// Counts announcements of adapter versions.
    pub(super) versions_changed: watch::Sender<u64>,
    /// Notified when the quarantine has changed.
    pub(super) quarantine_changed: Notify,
    pub(super) quarantine_log: RefCell<QuarantineLog>,
    /// What VMs have stored of crashes and sound parts, by their names.
    pub(super) stored_evidence: RefCell<BTreeMap<String, StoredEvidence>>,
    /// Notified when this VM has recorded a crash.
    pub(super) crash_recorded: Notify,
}

impl LocalScheduler {
    /// Creates a scheduler that sends its engine tasks to `tasks`.
    pub fn new(
        settings: SchedulerSettings,
        cold_upstreams: ColdUpstreamSettings,
        tasks: mpsc::UnboundedSender<EngineTask>,
    ) -> Self {
        Self {
            clock: Clock,
            work: Rc::default(),
            names: RefCell::default(),
            scheduler: RefCell::new(Scheduler::new(settings, RateShare::Part(1))),
            waiters: RefCell::default(),
            ask_filter: RefCell::default(),
            shed_log: RefCell::default(),
            retry_log: RefCell::default(),
            told_returns: RefCell::default(),
            addresses: RefCell::default(),
            removed_upstreams: RefCell::default(),
            cold_upstreams,
            tasks,
            wake: Notify::new(),
            decisions: Cell::new(0),
            is_decision_due: Cell::new(false),
            timer_due: Cell::new(Millis::ZERO),
            may_order: Cell::new(false),
            stored_quarantine: RefCell::default(),
            quarantine_hash: Cell::new(0),
            complete_at: Cell::new(None),
            versions_changed: watch::Sender::default(),
            quarantine_changed: Notify::new(),
            quarantine_log: RefCell::default(),
            stored_evidence: RefCell::default(),
            crash_recorded: Notify::new(),
        }
    }

    /// Runs the scheduler's timers; never returns.
    pub async fn run(&self) {
        let mut reports_logged_at = Millis::ZERO;
        loop {
            let now = self.clock.now();
            let due = self.scheduler.borrow().wake_at(now);
            self.timer_due.set(due);
            let delay = due.since(now);
            tokio::select! {
                () = tokio::time::sleep(delay.to_std()) => {}
                () = self.wake.notified() => if !self.is_decision_due.get() {
                    continue;
                },
            }
            self.is_decision_due.set(false);
            // The next turn reads the timer anew.
            self.timer_due.set(Millis::ZERO);
            self.apply(Scheduler::tick);
            if now.since(reports_logged_at) >= REPORT_LOG_INTERVAL {
                reports_logged_at = now;
                self.log_implausible_reports();
            }
        }
    }

    /// Sets whether this VM gives orders, and its share of the rate limits.
    pub fn set_role(
        &self,
        may_order: bool,
        share: RateShare,
    ) {
        self.may_order.set(may_order);
        let now = self.clock.now();
        self.scheduler.borrow_mut().set_role(may_order, share, now);
        self.wake.notify_one();
    }

    /// Allows orders at once, because the previous leader was an earlier run of this VM.
    pub fn skip_order_gap(&self) {
        let now = self.clock.now();
        self.scheduler.borrow_mut().skip_order_gap(now);
        self.wake.notify_one();
    }

    /// Records how long ago the previous leader sent its last order to an engine.
    pub fn set_idle_time(
        &self,
        upstream: &str,
        idle_time: Millis,
    ) {
        let id = self.names.borrow_mut().upstream(upstream);
        let now = self.clock.now();
        self.scheduler
            .borrow_mut()
            .set_order_idle_time(id, idle_time, now);
        self.wake.notify_one();
    }

    /// Stops orders to the selected engines.
    pub fn pause_orders(
        &self,
        engines: EnginesToPause,
    ) {
        self.scheduler.borrow_mut().pause_orders(engines);
    }

    /// The time since the last order to each engine.
    pub fn idle_times(&self) -> Vec<(String, Millis)> {
        let idle_times = self.scheduler.borrow().order_idle_times(self.clock.now());
        let names = self.names.borrow();
        idle_times
            .into_iter()
            .map(|(id, idle_time)| (names.upstream_name(id).to_string(), idle_time))
            .collect()
    }

    /// Whether this VM gives orders to engines.
    pub fn may_order(&self) -> bool {
        self.may_order.get()
    }

    /// Applies a configuration: account limits and engine limits.
    pub fn set_config(
        &self,
        config: &IngressConfig,
    ) {
        let now = self.clock.now();
        let mut names = self.names.borrow_mut();
        let limits = config
            .accounts
            .iter()
            .filter_map(|account| Some((names.account(&account.name), account.limit?)))
            .collect();
        let engines = config
            .services
            .values()
            .filter_map(|service| {
                let limits = engine_limits(service.engine.as_ref()?, &mut names);
                Some((names.service(&service.name), limits))
            })
            .collect();
        let cold_limits = config
            .services
            .values()
            .filter_map(|service| {
                let limit = self.cold_limit(service.cold_start?);
                Some((names.service(&service.name), limit))
            })
            .collect();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.set_limits(limits, now);
        scheduler.set_engines(engines);
        scheduler.set_cold_limits(cold_limits);
    }

    /// The limit of cold upstreams, with the allowance of the settings.
    fn cold_limit(
        &self,
        cold: ColdStart,
    ) -> ColdLimit {
        let allowance = &self.cold_upstreams;
        ColdLimit {
            per_second: cold.per_second * allowance.over + allowance.slack,
            duration: cold.duration,
        }
    }

    /// Sets which part of the upstreams' limits over all VMs this VM may use.
    pub fn set_admission_share(
        &self,
        share: AdmissionShare,
    ) {
        self.scheduler.borrow_mut().set_admission_share(share);
    }

    /// Records what an upstream states in a response to a request of this VM's own callers.
    pub fn note_own_signals(
        &self,
        upstream: &str,
        signals: &UpstreamSignals,
        sent_at: Millis,
    ) -> SignalChanges {
        let id = self.names.borrow_mut().upstream(upstream);
        let now = self.clock.now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.note_own_signals(id, signals, sent_at, now)
    }

    /// Records what an upstream states in its response to an assigned request.
    pub fn note_signals(
        &self,
        attempt_id: AttemptId,
        signals: &UpstreamSignals,
    ) {
        let now = self.clock.now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.note_signals(attempt_id, signals, now);
    }

    /// Begins the evacuation of a data centre.
    pub fn begin_evacuation(
        &self,
        data_centre: &str,
        source: Announcement,
    ) {
        let id = self.names.borrow_mut().data_centre(data_centre);
        self.apply(|scheduler, now| scheduler.begin_evacuation(id, source, now));
        self.wake.notify_one();
    }

    /// Ends the evacuation of a data centre.
    pub fn end_evacuation(
        &self,
        data_centre: &str,
    ) {
        let id = self.names.borrow_mut().data_centre(data_centre);
        self.apply(|scheduler, now| scheduler.end_evacuation(id, now));
    }

    /// Counts an attempt of this VM's own callers, decided here or by the leader.
    pub fn note_own_attempt(
        &self,
        spec: &JobSpec,
        upstream: &str,
    ) {
        let mut names = self.names.borrow_mut();
        let (service, upstream) = (names.service(&spec.service), names.upstream(upstream));
        let now = self.clock.now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.note_own_attempt(service, upstream, spec.attempt, now);
    }

    /// Remembers the return time in a refusal that a scheduler gave and this VM passes on.
    pub fn note_told_return(
        &self,
        spec: &JobSpec,
        refusal: &Refusal,
    ) {
        let service = self.names.borrow_mut().service(&spec.service);
        if self.scheduler.borrow().gives_return_times(service) {
            let now = self.clock.now();
            self.told_returns.borrow_mut().note(spec, refusal, now);
        }
    }

    /// How many return times this scheduler has promised, and what became of them.
    pub fn return_counts(&self) -> ReturnCounts {
        self.scheduler.borrow().return_counts()
    }

    /// What this VM tells a new leader.
    pub fn history(&self) -> VmHistory {
        let now = self.clock.now();
        let history = self.scheduler.borrow_mut().attempt_history(now);
        let rates = self.scheduler.borrow().rate_history(now);
        let accounts = rates.accounts.into_iter();
        let names = self.names.borrow();
        let services = history.services.into_iter();
        let stated = history.stated.into_iter().map(|stated| StatedSpec {
            upstream: names.upstream_name(stated.upstream).to_string(),
            started_unix_ms: stated.started_unix_ms,
            signals: stated.signals,
            sent_ago: stated.sent_ago,
            base_pace: stated.base_pace,
        });
        VmHistory {
            counted_for: history.counted_for,
            attempts: services
                .map(|(id, past)| (names.service_name(id).to_string(), past))
                .collect(),
            stated: stated.collect(),
            evidence: self.crash_evidence(),
            quarantine: self.quarantined(),
            rates_counted_for: rates.counted_for,
            accounts: accounts
                .map(|(id, spent)| (names.account_name(id).to_string(), spent))
                .collect(),
            costs: self.learned_costs(),
            promises: self.told_returns.borrow().pending(now),
        }
    }

    /// Adds what `vm` tells of the time before this VM took over.
    pub fn add_history(
        &self,
        vm: &str,
        session: u32,
        history: &VmHistory,
    ) {
        self.add_quarantine_history(vm, history);
        self.add_costs(vm, &history.costs);
        let mut names = self.names.borrow_mut();
        let attempts = history.attempts.iter();
        let services = attempts.map(|(name, past)| (names.service(name), *past));
        let services = services.collect();
        let accounts = history.accounts.iter();
        let rates = RateHistory {
            counted_for: history.rates_counted_for,
            accounts: accounts
                .map(|(name, spent)| (names.account(name), spent.clone()))
                .collect(),
        };
        let stated = history.stated.iter().map(|spec| StatedUpstream {
            upstream: names.upstream(&spec.upstream),
            started_unix_ms: spec.started_unix_ms,
            signals: spec.signals,
            sent_ago: spec.sent_ago.clone(),
            base_pace: spec.base_pace,
        });
        let promises = &history.promises;
        let history = AttemptHistory {
            counted_for: history.counted_for,
            services,
            stated: stated.collect(),
        };
        let now = self.clock.now();
        let promises: Vec<ReturnPromise> = promises
            .iter()
            .map(|promise| ReturnPromise {
                caller: CallerTag(promise.caller),
                service: names.service(&promise.service),
                priority: promise.priority,
                due: now + promise.due_in,
                work: promise.work,
            })
            .collect();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.add_promises(&promises, now);
        let vm = xxh3_64(vm.as_bytes());
        scheduler.add_attempt_history(vm, session, &history, now);
        scheduler.add_rate_history(vm, &rates, now);
    }

    /// Replaces the list of VMs that may admit requests.
    pub fn set_vms<'a>(
        &self,
        vms: impl Iterator<Item = &'a String>,
    ) {
        let vms: Vec<u64> = vms.map(|vm| xxh3_64(vm.as_bytes())).collect();
        let now = self.clock.now();
        self.scheduler.borrow_mut().set_vms(&vms, now);
    }

    /// Adds or updates an upstream.
    pub fn set_upstream(
        &self,
        entry: &UpstreamEntry,
    ) {
        let (id, facts) = {
            let mut names = self.names.borrow_mut();
            let id = names.upstream(&entry.id);
            self.addresses.borrow_mut().insert(id, entry.address);
            self.removed_upstreams.borrow_mut().remove(&id);
            (id, upstream_facts(entry, &mut names))
        };
        self.apply(|scheduler, now| scheduler.set_upstream(id, &facts, now));
    }

    /// Removes an upstream.
    pub fn remove_upstream(
        &self,
        id: &str,
    ) {
        let id = self.names.borrow_mut().upstream(id);
        self.addresses.borrow_mut().remove(&id);
        self.removed_upstreams.borrow_mut().insert(id);
        let now = self.clock.now();
        self.scheduler.borrow_mut().remove_upstream(id, now);
    }

    /// Requests an upstream; the verdict may take until the request's deadline.
    pub fn place(
        &self,
        vm: u32,
        spec: &JobSpec,
    ) -> oneshot::Receiver<Verdict> {
        let attempt_id = AttemptId {
            vm,
            number: spec.number,
        };
        self.learn_version(spec);
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(attempt_id, tx);
        let job = spec.resolve(&mut self.names.borrow_mut(), self.clock.now());
        let queued = self.note(|scheduler, now| scheduler.enqueue(attempt_id, job, now));
        match queued {
            Ok(()) => self.request_decision(),
            Err(refusal) => {
                let verdict = Verdict::Refused {
                    refusal,
                    waited_for: WaitReason::Turn,
                };
                self.answer(attempt_id, verdict);
            }
        }
        rx
    }

    /// Counts a decision on a first attempt of this VM's own callers, made here or by the leader.
    pub fn record_own_decision(
        &self,
        spec: &JobSpec,
        decided: RateDecision,
    ) {
        let Some(account) = spec.account.as_ref().filter(|_| spec.attempt == 1) else {
            return;
        };
        let account = self.names.borrow_mut().account(account);
        let now = self.clock.now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.record_own_decision(account, spec.cost, decided, now);
    }

    /// Records that the first event of a request's answer was received.
    pub fn first_event(
        &self,
        attempt_id: AttemptId,
    ) {
        self.note(|scheduler, now| scheduler.note_first_event(attempt_id, now));
        self.request_decision();
    }

    /// Records that a request ended or was withdrawn.
    pub fn ended(
        &self,
        attempt_id: AttemptId,
        outcome: Outcome,
    ) {
        self.waiters.borrow_mut().remove(&attempt_id);
        self.note(|scheduler, now| scheduler.note_ended(attempt_id, outcome, now));
        self.request_decision();
    }

    /// Takes over a running request from another scheduler.
    pub fn adopt(
        &self,
        vm: u32,
        spec: &RunningSpec,
    ) {
        self.learn_version(&spec.job);
        let now = self.clock.now();
        let mut names = self.names.borrow_mut();
        let adopted = RunningRequest {
            attempt_id: AttemptId {
                vm,
                number: spec.job.number,
            },
            upstream: names.upstream(&spec.upstream),
            job: spec.job.resolve(&mut names, now),
            version: spec.version,
            has_begun: spec.has_begun,
        };
        self.scheduler.borrow_mut().adopt(adopted, now);
    }

    /// Removes all requests of a VM.
    pub fn forget_vm(
        &self,
        vm: u32,
    ) {
        self.waiters
            .borrow_mut()
            .retain(|attempt_id, _| attempt_id.vm != vm);
        self.apply(|scheduler, now| scheduler.forget_vm(vm, now));
    }

    /// Removes the requests of all VMs except `vm`, after this VM stopped leading.
    pub fn forget_other_vms(
        &self,
        vm: u32,
    ) {
        self.waiters
            .borrow_mut()
            .retain(|attempt_id, _| attempt_id.vm == vm);
        self.apply(|scheduler, now| scheduler.forget_other_vms(vm, now));
    }

    /// Processes the result of an order.
    pub fn order_ended(
        &self,
        upstream: UpstreamId,
        order: Order,
        end: OrderResult,
    ) {
        self.apply(|scheduler, now| scheduler.order_ended(upstream, order, end, now));
    }

    /// Processes an engine's report; `None` if it could not be read.
    pub fn report(
        &self,
        upstream: UpstreamId,
        report: Option<&EngineReport>,
    ) {
        let facts = report.map(|report| {
            let mut names = self.names.borrow_mut();
            EngineStatus {
                started_unix_ms: report.started_unix_ms,
                ..engine_facts(&report.holdings, report.is_busy, &mut names)
            }
        });
        self.apply(|scheduler, now| scheduler.report(upstream, facts.as_ref(), now));
    }

    /// Whether an upstream may get no request of this VM's callers, or its entry was removed.
    pub fn is_unusable_or_removed(
        &self,
        upstream: &str,
    ) -> bool {
        let id = self.names.borrow_mut().upstream(upstream);
        let now = self.clock.now();
        self.removed_upstreams.borrow().contains(&id)
            || self.scheduler.borrow().is_unusable(id, now)
    }

    /// The name and address of an upstream.
    pub fn upstream(
        &self,
        id: UpstreamId,
    ) -> Option<(Rc<str>, SocketAddr)> {
        let address = *self.addresses.borrow().get(&id)?;
        Some((self.names.borrow().upstream_name(id), address))
    }

    /// Up to `count` upstreams that show whether this VM's links work, and how many are known.
    pub fn probe_targets(
        &self,
        salt: u64,
        count: usize,
    ) -> (Vec<ProbeTarget>, usize) {
        let scheduler = self.scheduler.borrow();
        let (chosen, known) = scheduler.upstreams_to_probe(salt, count, self.clock.now());
        let targets = chosen.into_iter().filter_map(|(id, service)| {
            let (name, address) = self.upstream(id)?;
            let service = self.names.borrow().service_name(service).to_string();
            Some(ProbeTarget {
                id,
                name,
                address,
                service,
            })
        });
        (targets.collect(), known)
    }

    /// The address of an upstream that this VM may send requests to.
    pub fn usable_address(
        &self,
        upstream: &str,
    ) -> Option<SocketAddr> {
        if self.is_unusable_or_removed(upstream) {
            return None;
        }
        let id = self.names.borrow_mut().upstream(upstream);
        self.addresses.borrow().get(&id).copied()
    }

    /// The build of an upstream; `None` if its entry, or that of its latest run, hasn't been read.
    pub fn build_of(
        &self,
        upstream: &str,
    ) -> Option<Rc<str>> {
        let id = self.names.borrow_mut().upstream(upstream);
        self.build_name(id)
    }

    fn build_name(
        &self,
        upstream: UpstreamId,
    ) -> Option<Rc<str>> {
        let build = self.scheduler.borrow().build_of(upstream)?;
        Some(self.names.borrow().build_name(build))
    }

    /// The only build of which a service has had upstreams lately.
    pub fn only_build(
        &self,
        service: &str,
    ) -> Option<String> {
        let service = self.names.borrow_mut().service(service);
        let now = self.clock.now();
        let build = self.scheduler.borrow().only_build(service, now)?;
        Some(self.names.borrow().build_name(build).to_string())
    }

    /// The name of the upstream that a request was assigned to.
    pub fn upstream_of(
        &self,
        attempt_id: AttemptId,
    ) -> Option<Rc<str>> {
        let id = self.scheduler.borrow().upstream_of(attempt_id)?;
        Some(self.names.borrow().upstream_name(id))
    }

    /// The table of names and ids.
    pub fn names(&self) -> std::cell::Ref<'_, NameInterner> {
        self.names.borrow()
    }

    /// The numbers of waiting and of running requests.
    pub fn load(&self) -> (usize, usize) {
        let scheduler = self.scheduler.borrow();
        (scheduler.waiting_len(), scheduler.running_len())
    }

    /// How often the scheduler has decided since the start.
    pub const fn decisions(&self) -> u64 {
        self.decisions.get()
    }

    /// How long the oldest waiting requests have waited.
    pub fn waiting_ages(&self) -> WaitingAges {
        self.scheduler.borrow().waiting_ages(self.clock.now())
    }

    /// Whether callers contend for capacity, or upstreams report their pace.
    pub fn is_hard_load(&self) -> bool {
        self.scheduler.borrow().is_hard_load()
    }

    /// Total waiting times of requests that no longer wait, by reason.
    pub fn waits(&self) -> WaitTimes {
        *self.scheduler.borrow().waits()
    }

    /// The numbers of waiting requests by priority, where they are ordered by urgency.
    pub fn waiting_by_priority(&self) -> BTreeMap<u8, usize> {
        self.scheduler.borrow().waiting_by_priority()
    }

    /// Logs the requests that were refused by urgency.
    fn log_shed(
        &self,
        now: Millis,
    ) {
        let records = self.scheduler.borrow_mut().take_shed_records();
        for record in records {
            let service = self.names.borrow().service_name(record.service);
            self.shed_log.borrow_mut().log(&record, &service, now);
        }
    }

    /// Logs the decisions about retries.
    fn log_retries(
        &self,
        now: Millis,
    ) {
        let records = self.scheduler.borrow_mut().take_retry_records();
        for record in records {
            let service = self.names.borrow().service_name(record.service);
            self.retry_log.borrow_mut().log(&record, &service, now);
        }
    }

    /// How many retries this scheduler has granted and refused.
    pub fn retry_totals(&self) -> RetryTotals {
        self.scheduler.borrow().retry_totals()
    }

    /// Passes an event to the scheduler; [`Self::request_decision`] has it decide what follows.
    fn note<T, F>(
        &self,
        f: F,
    ) -> T
    where
        F: FnOnce(&mut Scheduler, Millis) -> T,
    {
        let _step = self.work.enter(WorkPart::Decisions);
        f(&mut self.scheduler.borrow_mut(), self.clock.now())
    }

    /// Has [`Self::run`] decide once about all that is noted until its turn comes.
    ///
    /// A leader that is behind has read many messages by then, and decides about them together.
    fn request_decision(&self) {
        self.is_decision_due.set(true);
        self.wake.notify_one();
    }

    /// Passes an event to the scheduler and performs the resulting actions.
    pub(super) fn apply<F>(
        &self,
        f: F,
    ) where
        F: FnOnce(&mut Scheduler, Millis) -> Vec<Action>,
    {
        let _step = self.work.enter(WorkPart::Decisions);
        self.decisions.set(self.decisions.get() + 1);
        let now = self.clock.now();
        let actions = f(&mut self.scheduler.borrow_mut(), now);
        for action in actions {
            self.perform(action);
        }
        self.publish_quarantine_changes();
        self.log_planned_loads();
        self.log_shed(now);
        self.log_retries(now);
        if self.scheduler.borrow().wake_at(now) < self.timer_due.get() {
            self.wake.notify_one();
        }
    }

    fn perform(
        &self,
        action: Action,
    ) {
        match action {
            Action::Assign {
                attempt_id,
                upstream,
                version,
                waited_for,
            } => self.assign(attempt_id, upstream, version, waited_for),
            Action::Refuse {
                attempt_id,
                refusal,
                waited_for,
            } => {
                let verdict = Verdict::Refused {
                    refusal,
                    waited_for,
                };
                self.answer(attempt_id, verdict);
            }
            Action::Order {
                upstream,
                order,
                after_seq,
            } => self.queue_task(EngineTask::Order(upstream, order, after_seq)),
            Action::RequestReport { upstream } => self.queue_task(EngineTask::Report(upstream)),
        }
    }

    fn assign(
        &self,
        attempt_id: AttemptId,
        upstream: UpstreamId,
        version: Option<u32>,
        waited_for: WaitReason,
    ) {
        if let Some((id, address)) = self.upstream(upstream) {
            let assignment = Assignment {
                upstream: id.to_string(),
                address,
                version,
                build: self.build_name(upstream).as_deref().map(str::to_owned),
                waited_for,
            };
            self.answer(attempt_id, Verdict::Assigned(assignment));
        }
    }

    /// Sends a verdict to its waiter; one that was dropped has reported its end itself.
    fn answer(
        &self,
        attempt_id: AttemptId,
        verdict: Verdict,
    ) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(&attempt_id) {
            drop(waiter.send(verdict));
        }
    }

    fn queue_task(
        &self,
        task: EngineTask,
    ) {
        // The receiver is dropped only when the daemon stops.
        let _closed = self.tasks.send(task);
    }
}
