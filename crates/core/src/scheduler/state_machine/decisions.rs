//! Decisions after each event: dispatch, loads, postponement and refusals, and the cleanup of ended
//! requests.

use {
    super::{
        MIN_RETRY_AFTER, Scheduler,
        admission::{Hold, queue_target},
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AdapterVersion, RequestId, ServiceId, UpstreamId},
        overload::{OverloadControl, QueuedWork},
        quarantine::PartQuarantine,
        queue::{Pools, QueueTarget, QueuedRequest},
        scheduler::{
            Job, Outcome, RateShare, SchedulerAction as Action, WaitReason,
            choose::{CopyDemand, SelectionContext},
            evaluation_pace::EvaluationPace,
            fleet::Fleet,
            fleet_totals::FleetTotals,
            loads,
            request_load::Load,
            running::{Stage, TrackedRequest},
            skipped_requests::SkippedRequests,
        },
    },
};

/// A queue of up to this length is scanned after every event, a longer one at intervals.
const SHORT_QUEUE_LEN: usize = 48;
/// Bound on the queued requests scanned per millisecond by each phase: with a scan after each event, of which a request has
/// three, a scheduler that is late becomes later.
const MAX_SCANNED_PER_MS: usize = 100;
/// How far a request that can't be on time is postponed in the queue: newer requests that arrive
/// within this time and can be on time go first.
pub(super) const LATE_POSTPONE_DELAY: Millis = Millis(60_000);
/// A late request is refused if the expected wait times this factor exceeds its remaining time, as
/// newer requests that can be on time will go first.
const LATE_WAIT_FACTOR: u64 = 2;
/// Minimum interval between checks for due reports and missing base models.
const MIN_ENGINE_CHECK_INTERVAL: Millis = Millis(5);

/// Which queued requests a dispatch pass evaluates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatchPhase {
    /// Calls of plain services, which need no adapter and are cheap to decide.
    Calls,
    /// Generations that can still be on time.
    OnTimeGenerations,
    /// Every queued generation, late ones included.
    AllGenerations,
}

impl DispatchPhase {
    /// All phases in their order.
    const ALL: [Self; 3] = [Self::Calls, Self::OnTimeGenerations, Self::AllGenerations];

    /// Whose requests the phase evaluates.
    const fn pools(self) -> Pools {
        match self {
            Self::Calls => Pools::Services,
            Self::OnTimeGenerations | Self::AllGenerations => Pools::Engines,
        }
    }

    /// Whether a request is evaluated in this phase; late ones have lanes of their own where the queue has classes.
    const fn is_open_to(
        self,
        is_on_time_or_ranked: bool,
    ) -> bool {
        match self {
            Self::OnTimeGenerations => is_on_time_or_ranked,
            Self::Calls | Self::AllGenerations => true,
        }
    }
}

/// Whether all calls of the service have the same choice of upstreams: which ones rest differs from VM to VM, and which ones
/// are avoided or have room for a body from request to request.
fn is_alike(
    job: &Job,
    fleet: &Fleet,
    avoided: &[UpstreamId],
    now: Millis,
) -> bool {
    job.is_plain_call()
        && !fleet.has_rests(now)
        && avoided.is_empty()
        && !fleet.body_bytes.is_limited()
}

/// The queue target of a request now: held ones block no others of their target, and released ones
/// not each other.
fn held_target(
    entry: &mut TrackedRequest,
    quarantine: &mut PartQuarantine,
    fleet: &Fleet,
    avoided: &[UpstreamId],
    now: Millis,
) -> QueueTarget {
    let job = &entry.job;
    let has_no_upstream =
        || !avoided.is_empty() && fleet.ready(job.service).all(|up| avoided.contains(&up.id));
    // A hedge doesn't wait for the attempt beside which it is sent.
    let is_request_held = !job.is_hedge && quarantine.holds_request(job.request_part(), now);
    let parts = job.shared_parts();
    let hold = if quarantine.holds_parts(parts, now) {
        let suspicion = quarantine.suspicion(parts);
        Hold::Parts { suspicion }
    } else if is_request_held || has_no_upstream() {
        Hold::Request
    } else {
        Hold::Free
    };
    if hold != Hold::Free {
        entry.waits_for(WaitReason::Trial, now);
    }
    queue_target(&entry.job, hold)
}

/// Records what a request waits for, also in the load of its service.
fn note_waiting(
    entry: &mut TrackedRequest,
    reason: WaitReason,
    overload: &mut OverloadControl,
    fleet: &Fleet,
    now: Millis,
) {
    entry.waits_for(reason, now);
    if let Some(queued) = &mut entry.queued_work {
        let service = entry.job.service;
        let competes = QueuedWork::is_competing(reason);
        let nominal = fleet.capacity(service);
        overload.note_competing(service, queued, competes, nominal, now);
    }
}

impl Scheduler {
    /// Takes all decisions that are possible now and returns the resulting actions.
    pub(super) fn decide(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        self.fleet.refresh_totals(now);
        let mut actions = self.refuse_expired(now);
        actions.extend(self.review_quarantine(now));
        actions.extend(self.refuse_evacuated(now));
        actions.extend(self.refuse_rested(now));
        actions.extend(self.refuse_not_resumable(now));
        actions.extend(self.postpone_late(now));
        if now >= self.next_pass_at {
            self.run_dispatch_pass(&DispatchPhase::ALL, now, &mut actions);
            self.next_pass_at = now + self.dispatch_pass_interval();
        } else if self.queued_calls > 0 {
            self.run_dispatch_pass(&[DispatchPhase::Calls], now, &mut actions);
        }
        self.plan_copies(now, &mut actions);
        if self.can_order && now >= self.engines_checked_at + self.engine_check_interval() {
            self.engines_checked_at = now;
            self.check_engines(now, &mut actions);
        }
        self.fleet.refresh_totals(now);
        actions
    }

    /// Interval between checks of all engines.
    pub(super) fn engine_check_interval(&self) -> Millis {
        MIN_ENGINE_CHECK_INTERVAL.max(FleetTotals::refresh_interval(self.fleet.upstreams.len()))
    }

    /// Time between two evaluations of queued requests by engines' reports; zero for a short queue.
    pub(super) fn full_evaluation_time(&self) -> Millis {
        match self.queue.len() {
            short if short <= SHORT_QUEUE_LEN => Millis::ZERO,
            long => EvaluationPace::report_interval(long),
        }
    }

    /// Dispatches queued requests in these phases.
    fn run_dispatch_pass(
        &mut self,
        phases: &[DispatchPhase],
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.queue.is_empty() {
            return;
        }
        let mut cold_load = self.fleet.cold_time(&self.settings.loads, now);
        for &phase in phases {
            if phase != DispatchPhase::Calls || self.queued_calls > 0 {
                self.dispatch(phase, &mut cold_load, now, actions);
            }
        }
    }

    /// Time until the next dispatch pass; zero for a short queue.
    fn dispatch_pass_interval(&self) -> Millis {
        match self.queue.len() {
            short if short <= SHORT_QUEUE_LEN => Millis::ZERO,
            long => Millis((long / MAX_SCANNED_PER_MS).max(1) as u64),
        }
    }

    /// Requests due reports and loads base models on engines that have none.
    fn check_engines(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        actions.extend(self.model_loads.plan(&mut self.fleet, now));
        let due = self.fleet.reports_due(now);
        self.reports.set_due(due, now);
        self.request_reports(now, actions);
    }

    /// Requests pending reports, up to the bound on concurrent requests.
    pub(super) fn request_reports(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if !self.can_order {
            return;
        }
        let Self { fleet, reports, .. } = self;
        let mut ask = |engine| fleet.engine_mut(engine)?.start_report_request(now);
        while let Some(upstream) = reports.next(&mut ask) {
            actions.push(Action::RequestReport { upstream });
        }
    }

    /// Refuses queued requests whose deadline has passed.
    fn refuse_expired(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for QueuedRequest { request, .. } in self.queue.expire(now) {
            let Some(entry) = self.entries.get(&request) else {
                continue;
            };
            let kind = if self.has_upstream(entry.job.service) {
                ErrorKind::CannotMeetDeadline
            } else {
                ErrorKind::NoUpstream
            };
            actions.extend(self.refuse(request, Refusal::new(kind), now));
        }
        actions
    }

    /// Postpones requests that can no longer be on time, and refuses those that would hardly meet
    /// their deadline.
    ///
    /// Under overload, serving requests in order of arrival makes nearly all of them late.
    fn postpone_late(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&(until, request)) = self.on_time.first()
            && until <= now
        {
            self.on_time.remove(&(until, request));
            let Some(entry) = self.entries.get(&request) else {
                continue;
            };
            if entry.queued_work.is_some() {
                actions.extend(self.demote_late(request, now));
                continue;
            }
            let wait = self.expected_wait(entry.job.service);
            let remaining = entry.job.deadline.since(now);
            if Millis(wait.0 * LATE_WAIT_FACTOR) > remaining {
                let refusal =
                    Refusal::after(ErrorKind::CannotMeetDeadline, wait.max(MIN_RETRY_AFTER));
                actions.extend(self.refuse(request, refusal, now));
            } else {
                self.queue.postpone(request, LATE_POSTPONE_DELAY, now);
            }
        }
        actions
    }

    /// Refuses a queued request.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        refusal: Refusal,
        now: Millis,
    ) -> Option<Action> {
        let entry = self.entries.get_mut(&request)?;
        let attempt_id = entry.attempt_id;
        let waited_for = entry.waited_for(now);
        self.finish(request, Outcome::Abandoned, now);
        Some(Action::Refuse {
            attempt_id,
            refusal,
            waited_for,
        })
    }

    /// How many VMs decide at the same time.
    fn deciding_vms(&self) -> u64 {
        match self.rates.share() {
            RateShare::Part(vms) if !self.can_order => vms,
            _ => 1,
        }
    }

    /// Sends queued requests and starts loads for them, as far as the phase allows.
    fn dispatch(
        &mut self,
        phase: DispatchPhase,
        cold_load: &mut Millis,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let deciding_vms = self.deciding_vms();
        // No slot becomes free during a pass, so that one call speaks for all of its service.
        let mut full_services: Vec<ServiceId> = Vec::new();
        let mut skipped = SkippedRequests::default();
        self.queue.rewind();
        loop {
            let mut sent = None;
            let mut moved: Vec<(RequestId, QueueTarget)> = Vec::new();
            let (queued, on_time) = (self.queue.len(), self.on_time.len());
            let pace = EvaluationPace::new(queued, on_time, self.evaluation_epoch);
            let popped = self.queue.pop_next(now, phase.pools(), |waiting| {
                self.scanned += 1;
                let Some(entry) = self.entries.get_mut(&waiting.request) else {
                    return true;
                };
                let is_ranked = entry.queued_work.is_some();
                let on_time = (entry.latest_send_at, waiting.request);
                let is_on_time = entry.latest_send_at > now && self.on_time.contains(&on_time);
                if !phase.is_open_to(is_ranked || is_on_time) {
                    return false;
                }
                let queued_adapters = &self.queued_adapters;
                let is_deferred = pace.is_deferred(entry, is_on_time, queued_adapters, now);
                if is_deferred && !entry.job.is_plain_call() {
                    if is_ranked {
                        skipped.note(waiting.request, entry, now);
                    }
                    return false;
                }
                let quarantine = &mut self.quarantine;
                let avoided = quarantine.avoided_upstreams(entry.job.crash_candidates(), now);
                let is_plain = is_alike(&entry.job, &self.fleet, &avoided, now);
                let is_full = is_plain && full_services.contains(&entry.job.service);
                if is_full || is_deferred && !is_plain || skipped.must_go_first {
                    return false;
                }
                let target = held_target(entry, quarantine, &self.fleet, &avoided, now);
                if target != waiting.target {
                    moved.push((waiting.request, target));
                }
                if target != waiting.target || target.is_trial() {
                    return false;
                }
                self.evaluations += 1;
                entry.note_evaluated(self.evaluation_epoch, now);
                self.fleet.prepare(&entry.job);
                let selection = SelectionContext {
                    fleet: &self.fleet,
                    versions: &self.versions,
                    settings: &self.settings,
                    queued_adapters,
                    can_order: self.can_order,
                    can_evict: now >= self.evictions_allowed_at,
                    cold_load_ms: cold_load.0 as f64,
                    demand: CopyDemand::of(&self.demand, &self.fleet, entry.job.service),
                    deciding_vms,
                    vm: entry.attempt_id.vm,
                    avoided: &avoided,
                    crashed: &quarantine.crashed_upstreams(entry.job.shared_parts()),
                    expected: self
                        .fleet
                        .expected_cost(&entry.job, self.settings.hard_load, now),
                    now,
                };
                let choice = selection.choose(&entry.job);
                if let Some(engine) = choice.needs_report {
                    self.reports.note_urgent(engine);
                }
                if let Some(plan) = choice.load {
                    let (fleet, loads) = (&mut self.fleet, &self.settings.loads);
                    actions.extend(loads::begin(fleet, &self.versions, &plan, loads, now));
                    *cold_load = fleet.cold_time(loads, now);
                }
                if is_ranked && skipped.go_first(&self.fleet, choice.send) {
                    return false;
                }
                if choice.send.is_none() {
                    full_services.extend(is_plain.then_some(entry.job.service));
                    entry.evaluate_at = now + pace.next(is_on_time);
                    if choice.wait_reason == WaitReason::Load {
                        let (adapters, versions) = (&mut self.queued_adapters, &self.versions);
                        adapters.note_awaited(&entry.job, &self.fleet, versions, now);
                    }
                    let (overload, fleet) = (&mut self.overload, &self.fleet);
                    note_waiting(entry, choice.wait_reason, overload, fleet, now);
                }
                sent = choice.send;
                sent.is_some()
            });
            match (popped, sent) {
                (Some(waiting), Some((upstream, adapter))) => {
                    actions.extend(self.assign(waiting.request, upstream, adapter, now));
                }
                (None, _) if moved.is_empty() && !skipped.must_go_first => break,
                _ => {}
            }
            if !moved.is_empty() || skipped.must_go_first {
                self.revise_queue(moved, std::mem::take(&mut skipped), now);
                self.queue.rewind();
            }
        }
    }

    /// Applies what a pass over the queue has shown about requests that it did not send.
    fn revise_queue(
        &mut self,
        moved: Vec<(RequestId, QueueTarget)>,
        skipped: SkippedRequests,
        now: Millis,
    ) {
        for (request, target) in moved {
            self.queue.retarget(request, target);
        }
        for request in skipped.take_first() {
            if let Some(entry) = self.entries.get_mut(&request) {
                entry.evaluate_at = now;
            }
        }
    }

    /// Moves a queued request to an upstream.
    pub(super) fn assign(
        &mut self,
        request: RequestId,
        upstream: UpstreamId,
        adapter: Option<AdapterVersion>,
        now: Millis,
    ) -> Option<Action> {
        let entry = self.entries.get(&request)?;
        let (attempt_id, job) = (entry.attempt_id, entry.job.clone());
        if !self.draw_retry(attempt_id, &job, now) {
            return self.refuse(request, Refusal::new(ErrorKind::NoUpstream), now);
        }
        let reserved_tokens = self.assign_work(&job, upstream, request, adapter, now);
        self.fleet.body_bytes.add(upstream, job.body_bytes);
        self.fleet.note_sent(upstream, &job, now);
        self.quarantine
            .note_sent(job.crash_candidates(), request, upstream, now);
        self.update_queued_work(&job, false);
        self.note_dequeued(request, true, now);
        let entry = self.entries.get_mut(&request)?;
        self.on_time.remove(&(entry.latest_send_at, request));
        entry.stage = Stage::Running { upstream, adapter };
        entry.assigned_at = now;
        entry.reserved_tokens = reserved_tokens;
        entry.is_cost_known = true;
        let waited_for = entry.waited_for(now);
        self.waits.add_all(&entry.waited);
        let version = adapter
            .filter(|adapter| self.versions.announced_version(adapter.adapter).is_some())
            .map(|adapter| adapter.version);
        Some(Action::Assign {
            attempt_id: entry.attempt_id,
            upstream,
            version,
            waited_for,
        })
    }

    /// Records that a request runs at an upstream; returns the memory reserved for it, if that isn't
    /// its stated maximum.
    pub(super) fn assign_work(
        &mut self,
        job: &Job,
        upstream: UpstreamId,
        request: RequestId,
        adapter: Option<AdapterVersion>,
        now: Millis,
    ) -> Option<u64> {
        let mut load = self.request_load(job, upstream, now);
        let expected = self.fleet.expected_cost(job, self.settings.hard_load, now);
        if let Some(expected) = expected {
            load.total = expected.reserved_tokens;
            self.fleet.add_work(upstream, request, expected.work, now);
        }
        self.fleet.assign(upstream, request, adapter, load, now);
        expected.map(|expected| expected.reserved_tokens)
    }

    /// The work that a request is for an upstream; zero if that isn't an engine.
    pub(super) fn request_load(
        &self,
        job: &Job,
        upstream: UpstreamId,
        now: Millis,
    ) -> Load {
        let engine = self
            .fleet
            .upstreams
            .get(&upstream)
            .and_then(|up| up.engine.as_ref());
        engine.map_or_else(Load::default, |engine| Load::of(job, engine, now))
    }

    /// Adds a request to the totals of queued work, or removes it from them.
    pub(super) fn update_queued_work(
        &mut self,
        job: &Job,
        is_queued: bool,
    ) {
        let work = job
            .generation()
            .map_or(1.0, |generation| f64::from(generation.size.prompt));
        let queued_work = self.queued_work.entry(job.service).or_default();
        *queued_work = (*queued_work + if is_queued { work } else { -work }).max(0.0);
        let add_to = |count: usize, one: usize| {
            if is_queued {
                count + one
            } else {
                count.saturating_sub(one)
            }
        };
        let is_call = usize::from(job.generation().is_none());
        self.queued_calls = add_to(self.queued_calls, is_call);
        let is_resumption = usize::from(job.build.is_some());
        self.queued_resumptions = add_to(self.queued_resumptions, is_resumption);
        let Some(adapter) = job.adapter() else {
            return;
        };
        if is_queued {
            self.queued_adapters.add(adapter);
        } else {
            self.queued_adapters.remove(adapter);
        }
    }

    /// Removes a request, releases what it occupied and records its outcome.
    pub(super) fn finish(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        now: Millis,
    ) {
        self.note_dequeued(request, false, now);
        let Some(mut entry) = self.entries.remove(&request) else {
            return;
        };
        self.by_attempt_id.remove(&entry.attempt_id);
        self.quarantine.note_ended(request);
        let has_run = match entry.stage {
            Stage::Waiting => {
                entry.waits_for(entry.waits_for, now);
                self.waits.add_all(&entry.waited);
                self.on_time.remove(&(entry.latest_send_at, request));
                self.queue.cancel(request, now);
                self.update_queued_work(&entry.job, false);
                self.release_retry(&entry.job);
                false
            }
            Stage::Running { upstream, adapter } => {
                match outcome {
                    Outcome::Unreachable => self.note_gone(upstream, now),
                    _ if outcome.has_response() => self.note_alive(upstream, now),
                    _ => {}
                }
                let stated = entry.job.generation().map_or(0, |g| g.size.total());
                let total = entry.reserved_tokens.unwrap_or(stated);
                let started_at = self.fleet.remove_work(upstream, request, now);
                self.fleet.release(upstream, request, adapter, total, now);
                if let Some(started_at) = started_at.filter(|_| entry.is_cost_known) {
                    let settings = self.settings.hard_load;
                    self.fleet
                        .learn_ended(upstream, &entry, started_at, outcome, settings, now);
                }
                if let (Outcome::Answered { took }, true, None) =
                    (outcome, entry.is_cost_known, entry.job.generation())
                {
                    let assigned = now.since(entry.assigned_at);
                    self.fleet.note_turnover(upstream, assigned, took);
                }
                let body_bytes = entry.job.body_bytes;
                self.fleet.body_bytes.remove(upstream, body_bytes);
                let load = self.settings.loads;
                self.fleet
                    .record_outcome(upstream, adapter, outcome, &load, now);
                if let (Outcome::NotLoaded | Outcome::Shed, Some(adapter)) = (outcome, adapter) {
                    self.note_load_end(upstream, adapter, now);
                }
                self.fleet
                    .note_call_pace(upstream, outcome, self.settings.hard_load, now);
                true
            }
        };
        if let Some(charge) = entry.charge {
            self.rates.settle(charge, has_run, now);
        }
    }
}
