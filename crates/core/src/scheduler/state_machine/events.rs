//! Events that the scheduler receives: roles, settings, upstreams, reports, requests and their
//! outcomes.

use {
    super::{ORPHAN_TIMEOUT, Scheduler, shedding::lane},
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, AdapterId, AdapterVersion, RequestId, ServiceId, UpstreamId},
        rights::{Charge, Limit},
        scheduler::{
            AttemptId, EngineLimits, EngineStatus, EnginesToPause, Job, Order, OrderResult,
            Outcome, RateDecision, RateHistory, RateShare, RunningRequest,
            SchedulerAction as Action, SchedulerSettings, UpstreamStatus, VersionLimit, WaitReason,
            WaitTimes,
            announced_versions::{Announcement, NewestVersion},
            loads,
            rate_history::RATE_WINDOW,
            running::{Stage, TrackedRequest},
        },
    },
    std::collections::{BTreeMap, HashMap},
};

/// Eviction is off for this long after a takeover, until all VMs have reported their running
/// requests: evicting an adapter in use blocks the engine until those requests end.
const TAKEOVER_EVICTION_DELAY: Millis = Millis(500);

/// A new scheduler refuses requests within their rate until all VMs have told what was used of it; this long it concludes
/// nothing from that about the share of requests to be asked about.
const TAKEOVER_ASK_DELAY: Millis = Millis(2_000);

/// Suspected prompts wait for this long after a takeover, until all VMs have told what they know of crashes.
const TAKEOVER_TRIAL_DELAY: Millis = Millis(500);
/// The same at a VM that begins to decide alone: a leader may know more.
const STANDALONE_TRIAL_DELAY: Millis = Millis(1_500);

impl Scheduler {
    /// Records that this scheduler decides alone from now on, for its own callers only.
    pub const fn begin_standalone(
        &mut self,
        now: Millis,
    ) {
        self.is_following = false;
        self.is_evidence_new = true;
        let until = Millis(now.0 + STANDALONE_TRIAL_DELAY.0);
        self.quarantine.delay_trials(until);
    }

    /// Records that another VM decides from now on: this one only collects evidence of its own callers, too little for
    /// verdicts.
    pub const fn begin_following(&mut self) {
        self.is_following = true;
    }

    /// Sets whether this scheduler may send orders to engines, and its share of the account rates.
    pub fn set_role(
        &mut self,
        can_order: bool,
        share: RateShare,
        now: Millis,
    ) {
        if can_order && !self.can_order {
            self.evictions_allowed_at = match share {
                RateShare::Fresh => now,
                RateShare::TakenOver | RateShare::Part(_) => now + TAKEOVER_EVICTION_DELAY,
            };
            let orders_allowed_at = match share {
                RateShare::Fresh => now,
                RateShare::TakenOver | RateShare::Part(_) => now + self.settings.order_gap,
            };
            self.fleet.orders_allowed_at = orders_allowed_at;
            let took_over = share != RateShare::Fresh;
            let trial_delay = if took_over {
                TAKEOVER_TRIAL_DELAY
            } else {
                Millis::ZERO
            };
            self.quarantine.delay_trials(now + trial_delay);
            self.restart_retry_budgets(took_over.then_some(now));
            if took_over {
                self.told_costs.clear();
                self.fleet.restart_limit_logs();
            }
            for (_, engine) in self.fleet.engines_mut() {
                engine.has_pending_order = false;
                engine.is_order_paused = false;
                engine.orders_allowed_at = orders_allowed_at;
                engine.mark_stale(Millis::ZERO);
            }
        }
        self.asks.restart(now + TAKEOVER_ASK_DELAY);
        self.can_order = can_order;
        self.is_following &= !can_order;
        self.rates.set_share(share, now);
        // A follower records crashes, and leaves it to the leader what to conclude.
        self.is_evidence_new = true;
    }

    /// Allows orders at once after a takeover from an earlier process on this VM, whose orders
    /// can't overlap with new ones.
    pub fn skip_order_gap(
        &mut self,
        now: Millis,
    ) {
        self.fleet.orders_allowed_at = now;
        for (_, engine) in self.fleet.engines_mut() {
            engine.orders_allowed_at = now;
        }
    }

    /// Sets how long ago the previous scheduler sent an engine its last order.
    pub fn set_order_idle_time(
        &mut self,
        upstream: UpstreamId,
        idle_time: Millis,
        now: Millis,
    ) {
        let gap = self.settings.order_gap;
        if let Some(engine) = self.fleet.engine_mut(upstream) {
            engine.orders_allowed_at = engine.orders_allowed_at.min(now + gap.since(idle_time));
        }
    }

    /// Stops sending orders to `engines` before a planned handover of leadership.
    ///
    /// Without fencing tokens, the next scheduler must wait for `order_gap` after an engine's last
    /// order. Stopping half of the engines early lets it load adapters on those at once.
    pub fn pause_orders(
        &mut self,
        engines: EnginesToPause,
    ) {
        let step = match engines {
            EnginesToPause::EverySecond => 2,
            EnginesToPause::All => 1,
        };
        for (_, engine) in self.fleet.engines_mut().step_by(step) {
            engine.is_order_paused = true;
        }
    }

    /// How long ago each engine got its last order, for the next scheduler.
    ///
    /// An engine without an order from this scheduler counts as having had one just before the
    /// takeover, unless the previous scheduler reported a longer time.
    pub fn order_idle_times(
        &self,
        now: Millis,
    ) -> Vec<(UpstreamId, Millis)> {
        let engines = self
            .fleet
            .upstreams
            .values()
            .filter_map(|up| Some((up.id, up.engine.as_ref()?)));
        engines
            .filter(|(_, engine)| !engine.has_pending_order)
            .map(|(id, engine)| {
                let previous_order_at = engine.orders_allowed_at.since(self.settings.order_gap);
                (id, now.since(engine.last_order_at.max(previous_order_at)))
            })
            .collect()
    }

    /// Replaces the settings.
    pub fn set_settings(
        &mut self,
        settings: SchedulerSettings,
    ) {
        self.fleet.body_bytes.budget = settings.upstream_bytes;
        self.settings = settings;
        self.fleet.paces_renewed_at = Millis::ZERO;
        self.fleet.hard_load = settings.hard_load;
    }

    /// Replaces the rate limits; accounts that are not listed have no limit.
    pub fn set_limits(
        &mut self,
        limits: BTreeMap<AccountId, Limit>,
        now: Millis,
    ) {
        self.asks.restart(now);
        self.rates.set_limits(limits, now);
    }

    /// Sets which services run on engines, and the limits of these engines.
    pub fn set_engines(
        &mut self,
        engines: HashMap<ServiceId, EngineLimits>,
    ) {
        self.fleet.set_engines(engines);
    }

    /// Adds or updates an upstream from its store entry.
    pub fn set_upstream(
        &mut self,
        id: UpstreamId,
        facts: &UpstreamStatus,
        now: Millis,
    ) -> Vec<Action> {
        let load = self.settings.loads;
        let known = self.fleet.upstreams.get(&id);
        if known.is_some_and(|known| known.started_unix_ms != facts.started_unix_ms) {
            self.note_gone(id, now);
        }
        let run = self.fleet.run(id);
        self.fleet.set(id, facts, self.can_order, &load, now);
        self.note_run(id, run, now);
        self.decide(now)
    }

    /// Removes an upstream whose store entry is gone.
    pub fn remove_upstream(
        &mut self,
        id: UpstreamId,
        now: Millis,
    ) {
        self.note_gone(id, now);
        self.fleet.remove(id, now);
    }

    /// Records that an operator has announced a version of an adapter.
    pub fn announce_version(
        &mut self,
        adapter: AdapterId,
        version: u32,
        source: Announcement,
        now: Millis,
    ) {
        let time = self.settings.older_version_time;
        self.versions.announce(adapter, version, source, time, now);
    }

    /// The newest version of an adapter that an operator has announced, as far as it is known here.
    pub fn newest_version(
        &self,
        adapter: AdapterId,
    ) -> Option<NewestVersion> {
        self.versions.newest(adapter)
    }

    /// Records a version that another VM knows.
    ///
    /// VMs tell it with their requests, so that a leader that has lost the store learns it from them.
    pub fn learn_version(
        &mut self,
        adapter: AdapterId,
        limit: VersionLimit,
        now: Millis,
    ) {
        let newest = NewestVersion {
            limit,
            absent_at: None,
        };
        self.versions.learn(adapter, newest, now);
    }

    /// Until when requests may begin on a version of an adapter, `None` if no newer one is known.
    ///
    /// A request that names no version was sent before any was announced.
    pub fn version_usable_until(
        &self,
        adapter: AdapterId,
        version: Option<u32>,
    ) -> Option<Millis> {
        self.versions.usable_until(adapter, version)
    }

    /// Applies an engine's own report; `None` if the request for it failed.
    pub fn report(
        &mut self,
        id: UpstreamId,
        facts: Option<&EngineStatus>,
        now: Millis,
    ) -> Vec<Action> {
        self.reports.note_answer(id);
        if let Some(facts) = facts {
            let load = self.settings.loads;
            let run = self.fleet.run(id);
            self.fleet.report(id, facts, &load, now);
            if !self.note_run(id, run, now) {
                let sign = self.sign_of_report(id, facts);
                self.quarantine.note_alive(id, sign, now);
            }
            self.reevaluate_all(now);
        }
        let mut actions = self.decide(now);
        self.request_reports(now, &mut actions);
        actions
    }

    /// Marks all queued requests for evaluation, as an engine may accept orders again; for long
    /// queues at most once per [`Self::full_evaluation_time`].
    pub(super) fn reevaluate_all(
        &mut self,
        now: Millis,
    ) {
        if now >= self.next_epoch_at {
            self.evaluation_epoch += 1;
            self.next_epoch_at = now + self.full_evaluation_time();
        }
    }

    /// Applies the result of an order.
    pub fn order_ended(
        &mut self,
        upstream: UpstreamId,
        order: Order,
        end: OrderResult,
        now: Millis,
    ) -> Vec<Action> {
        let load = self.settings.loads;
        self.fleet.refresh_totals(now);
        let fleet = &mut self.fleet;
        let next = loads::order_ended(fleet, &self.versions, upstream, order, end, &load, now);
        if let Order::Load { adapter, .. } = order {
            self.note_load_end(upstream, adapter, now);
        }
        let mut actions: Vec<Action> = next.into_iter().collect();
        actions.extend(self.decide(now));
        actions
    }

    /// Records when a load is expected to end, for the requests that wait for it.
    pub(super) fn note_load_end(
        &mut self,
        upstream: UpstreamId,
        adapter: AdapterVersion,
        now: Millis,
    ) {
        let engine = self.fleet.engine(upstream);
        let resident = engine.and_then(|engine| engine.resident(adapter));
        if let Some(wait) = resident.and_then(|resident| resident.wait(now)) {
            self.queued_adapters
                .note_load(adapter.adapter, now + wait, now);
        }
    }

    /// Queues a request and decides about it, or refuses it at once.
    pub fn place(
        &mut self,
        attempt_id: AttemptId,
        job: Job,
        now: Millis,
    ) -> Vec<Action> {
        match self.enqueue(attempt_id, job, now) {
            Ok(()) => self.decide(now),
            Err(refusal) => vec![Action::Refuse {
                attempt_id,
                refusal,
                waited_for: WaitReason::Turn,
            }],
        }
    }

    /// Queues a request about which the next [`Self::tick`] decides.
    ///
    /// # Errors
    ///
    /// The refusal of a request that isn't queued.
    pub fn enqueue(
        &mut self,
        attempt_id: AttemptId,
        job: Job,
        now: Millis,
    ) -> Result<(), Refusal> {
        self.fleet.refresh_totals(now);
        if let Err(refusal) = self.check_quarantine(&job)
            && !self.is_probe(&job, now)
        {
            return Err(refusal);
        }
        self.check_availability(&job, now)?;
        self.check_rests(&job, attempt_id.vm, now)?;
        self.check_hedge(&job, now)?;
        self.check_retry_budget(attempt_id, &job, now)?;
        let mut queued_work = self.check_wait(attempt_id, &job, now)?;
        if self.fleet.body_bytes.is_too_large(job.body_bytes) {
            // The configuration allows it, and another scheduler's settings may do so.
            return Err(Refusal::new(ErrorKind::NoUpstream));
        }
        let charge = self.charge(&job, now);
        self.note_asked(attempt_id, &job, &charge);
        let charge = charge?;
        let request = RequestId(self.next_request);
        let queue_item = self.queue_item(request, &job, now);
        let lane = queued_work.map(|queued| lane(&job, &queued));
        if let Err(refusal) = self.queue.push(queue_item, lane, now) {
            if let Some(charge) = charge {
                self.rates.settle(charge, false, now);
            }
            return Err(refusal);
        }
        self.next_request += 1;
        self.reserve_retry(&job);
        self.note_demand(&job, now);
        self.update_queued_work(&job, true);
        if let Some(queued) = &mut queued_work {
            let nominal = self.fleet.capacity(job.service);
            self.overload.note_queued(job.service, queued, nominal, now);
        }
        self.add_entry(request, attempt_id, job, Stage::Waiting, charge, now);
        self.track_wait(request, queued_work, now);
        Ok(())
    }

    /// Adds a request to the scheduler's entries.
    fn add_entry(
        &mut self,
        request: RequestId,
        attempt_id: AttemptId,
        job: Job,
        stage: Stage,
        charge: Option<Charge>,
        now: Millis,
    ) {
        self.by_attempt_id.insert(attempt_id, request);
        let entry = TrackedRequest {
            attempt_id,
            latest_send_at: self.latest_send_at(&job),
            evaluate_at: Millis::ZERO,
            evaluated_at: Millis::ZERO,
            evaluation_epoch: self.evaluation_epoch,
            waits_for: WaitReason::Turn,
            waits_since: now,
            waited: WaitTimes::default(),
            forget_at: job.deadline + ORPHAN_TIMEOUT,
            job,
            assigned_at: match stage {
                Stage::Waiting => Millis::ZERO,
                Stage::Running { .. } => now,
            },
            stage,
            queued_work: None,
            charge,
            reserved_tokens: None,
            is_cost_known: false,
        };
        self.entries.insert(request, entry);
    }

    /// What this VM's own callers have used of the account rates, for a new scheduler.
    pub fn rate_history(
        &self,
        now: Millis,
    ) -> RateHistory {
        self.rates.history(now)
    }

    /// Adds what the callers of a VM have used of the account rates before this scheduler took over; `vm` is a hash of its name.
    ///
    /// A VM that connects again is counted once.
    pub fn add_rate_history(
        &mut self,
        vm: u64,
        history: &RateHistory,
        now: Millis,
    ) {
        self.rates.add_history(vm, history, &self.members, now);
    }

    /// Replaces the list of VMs, by hashes of their names.
    pub fn set_vms(
        &mut self,
        vms: &[u64],
        now: Millis,
    ) {
        let kept = RATE_WINDOW.max(self.settings.repeats.window);
        self.members.set(vms, kept, now);
    }

    /// Records the decision about a request of this VM's own callers, by this or another scheduler.
    pub fn record_own_decision(
        &mut self,
        account: AccountId,
        cost: u64,
        decided: RateDecision,
        now: Millis,
    ) {
        match decided {
            RateDecision::Admitted => self.rates.note_local_admission(account, cost, now),
            RateDecision::RateLimited => self.rates.note_local_rejection(account, now),
        }
    }

    /// Removes a request whose caller has gone or whose VM has given up on it.
    pub fn cancel(
        &mut self,
        attempt_id: AttemptId,
        now: Millis,
    ) -> Vec<Action> {
        self.ended(attempt_id, Outcome::Abandoned, now)
    }

    /// Records the first event of an assigned generation, which shows that its prompt was
    /// processed, and decides what that allows.
    pub fn first_event(
        &mut self,
        attempt_id: AttemptId,
        now: Millis,
    ) -> Vec<Action> {
        self.note_first_event(attempt_id, now);
        self.decide(now)
    }

    /// Records the first event of an assigned generation; the next [`Self::tick`] decides what that allows.
    pub fn note_first_event(
        &mut self,
        attempt_id: AttemptId,
        now: Millis,
    ) {
        let Some(&request) = self.by_attempt_id.get(&attempt_id) else {
            return;
        };
        let Some(entry) = self.entries.get(&request) else {
            return;
        };
        let Stage::Running { upstream, adapter } = entry.stage else {
            return;
        };
        let sign = self.sign_of_answer(upstream);
        self.quarantine.note_alive(upstream, sign, now);
        if let Some(upstream) = self.fleet.upstreams.get_mut(&upstream) {
            upstream.health.note_first_event();
            upstream.work.start(request, now);
        }
        let mut probed = None;
        if let (Some(engine), Some(generation)) =
            (self.fleet.engine_mut(upstream), entry.job.generation())
        {
            let reading = engine.backlog.finish_prefill(request, now);
            engine
                .prefixes
                .note(generation.adapter, &generation.parts, now);
            let was_cold_load =
                adapter.is_some_and(|adapter| engine.cold_load_accepted_at(adapter).is_some());
            probed = adapter.filter(|&adapter| engine.is_being_probed(adapter));
            if let Some(adapter) = adapter {
                engine.note_loaded(adapter);
            }
            if was_cold_load {
                self.fleet.load_punctuality.note(false, now);
            }
            if let Some(reading) = reading {
                let (service, settings) = (entry.job.service, self.settings.hard_load);
                self.fleet
                    .note_prefill_pace(upstream, service, reading, settings, now);
            }
        }
        if let Some(adapter) = probed {
            self.note_load_end(upstream, adapter, now);
        }
    }

    /// Records the outcome of an assigned or queued request, and decides what that allows.
    pub fn ended(
        &mut self,
        attempt_id: AttemptId,
        outcome: Outcome,
        now: Millis,
    ) -> Vec<Action> {
        self.note_ended(attempt_id, outcome, now);
        self.decide(now)
    }

    /// Records the outcome of an assigned or queued request; the next [`Self::tick`] decides what that allows.
    pub fn note_ended(
        &mut self,
        attempt_id: AttemptId,
        outcome: Outcome,
        now: Millis,
    ) {
        if let Some(request) = self.by_attempt_id.get(&attempt_id).copied() {
            self.finish(request, outcome, now);
        }
    }

    /// Adds a request that was already running when this scheduler took over.
    pub fn adopt(
        &mut self,
        adopted: RunningRequest,
        now: Millis,
    ) {
        let RunningRequest {
            attempt_id,
            job,
            upstream,
            version,
            has_begun,
        } = adopted;
        if self.by_attempt_id.contains_key(&attempt_id) {
            return;
        }
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let adapter = job.adapter();
        let adapter = adapter.map(|adapter| match version {
            Some(version) => AdapterVersion { adapter, version },
            None => self.versions.wanted(adapter),
        });
        let reserved_tokens = self.assign_work(&job, upstream, request, adapter, now);
        if has_begun && let Some(upstream) = self.fleet.upstreams.get_mut(&upstream) {
            upstream.work.start(request, now);
        }
        self.fleet.body_bytes.add(upstream, job.body_bytes);
        if has_begun && let Some(engine) = self.fleet.engine_mut(upstream) {
            engine.backlog.remove(request, now);
        }
        let stage = Stage::Running { upstream, adapter };
        self.add_entry(request, attempt_id, job, stage, None, now);
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.reserved_tokens = reserved_tokens;
        }
    }

    /// Removes all requests of a VM that is gone.
    pub fn forget_vm(
        &mut self,
        vm: u32,
        now: Millis,
    ) -> Vec<Action> {
        self.remove_matching(|attempt_id| attempt_id.vm == vm, now)
    }

    /// Removes all requests of VMs other than `vm`, after another scheduler has taken over.
    pub fn forget_other_vms(
        &mut self,
        vm: u32,
        now: Millis,
    ) -> Vec<Action> {
        self.remove_matching(|attempt_id| attempt_id.vm != vm, now)
    }

    fn remove_matching<F>(
        &mut self,
        is_removed: F,
        now: Millis,
    ) -> Vec<Action>
    where
        F: Fn(AttemptId) -> bool,
    {
        let removed: Vec<RequestId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_removed(entry.attempt_id))
            .map(|(&request, _)| request)
            .collect();
        for request in removed {
            self.finish(request, Outcome::Abandoned, now);
        }
        self.decide(now)
    }

    /// Advances the time: removes requests whose end was never reported, then decides about queued
    /// ones.
    pub fn tick(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        if now.since(self.swept_at) >= ORPHAN_TIMEOUT {
            self.swept_at = now;
            self.returns.release(now);
            let orphaned: Vec<RequestId> = self
                .entries
                .iter()
                .filter(|(_, entry)| now >= entry.forget_at)
                .map(|(&request, _)| request)
                .collect();
            for request in orphaned {
                self.finish(request, Outcome::Abandoned, now);
            }
        }
        self.fleet.renew_due_paces(self.settings.hard_load, now);
        self.asks.adjust(now);
        self.decide(now)
    }
}
