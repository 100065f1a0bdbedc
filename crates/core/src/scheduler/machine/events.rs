//! Events that the scheduler receives: roles, settings, upstreams, reports, requests and their
//! outcomes.

use {
    super::{ORPHAN_TIMEOUT, Scheduler},
    crate::{
        clock::Millis,
        ids::{AccountId, AdapterId, AdapterVersion, RequestId, ServiceId, UpstreamId},
        rights::{Charge, Limit},
        scheduler::{
            Adopted, EngineFacts, EngineLimits, Job, Order, OrderEnd, Outcome, OwnDecision, Rest,
            RightsShare, SchedulerAction as Action, SchedulerSettings, Ticket, UpstreamFacts,
            WaitReason, WaitTimes, loads,
            running::{Entry, Stage},
            version_book::Announcement,
        },
    },
    std::collections::{BTreeMap, HashMap},
};

/// Eviction is off for this long after a takeover, until all VMs have reported their running
/// requests: evicting an adapter in use blocks the engine until those requests end.
const TAKEOVER_EVICTION_DELAY: Millis = Millis(500);

impl Scheduler {
    /// Sets whether this scheduler may send orders to engines, and its share of the account rates.
    pub fn set_role(
        &mut self,
        can_order: bool,
        share: RightsShare,
        now: Millis,
    ) {
        if can_order && !self.can_order {
            self.evictions_allowed_at = match share {
                RightsShare::Fresh => now,
                RightsShare::TakenOver | RightsShare::Part(_) => now + TAKEOVER_EVICTION_DELAY,
            };
            let orders_from = match share {
                RightsShare::Fresh => now,
                RightsShare::TakenOver | RightsShare::Part(_) => now + self.settings.order_gap,
            };
            self.fleet.orders_from = orders_from;
            if share != RightsShare::Fresh {
                self.taken_over_at = Some(now);
                self.retry_budgets.clear();
            }
            for (_, engine) in self.fleet.engines_mut() {
                engine.has_order = false;
                engine.rests = false;
                engine.orders_from = orders_from;
                engine.doubt(Millis::ZERO);
            }
        }
        self.can_order = can_order;
        self.rates.set_share(share, now);
    }

    /// Allows orders at once after a takeover from an earlier process on this VM, whose orders
    /// can't overlap with new ones.
    pub fn continue_own_orders(
        &mut self,
        now: Millis,
    ) {
        self.fleet.orders_from = now;
        for (_, engine) in self.fleet.engines_mut() {
            engine.orders_from = now;
        }
    }

    /// Sets how long ago the previous scheduler sent an engine its last order.
    pub fn note_rested(
        &mut self,
        upstream: UpstreamId,
        idle_time: Millis,
        now: Millis,
    ) {
        let gap = self.settings.order_gap;
        if let Some(engine) = self.fleet.engine_mut(upstream) {
            engine.orders_from = engine.orders_from.min(now + gap.since(idle_time));
        }
    }

    /// Stops sending orders to `engines` before a planned handover of leadership.
    ///
    /// Without fencing tokens, the next scheduler must wait for `order_gap` after an engine's last
    /// order. Stopping half of the engines early lets it load adapters on those at once.
    pub fn rest(
        &mut self,
        engines: Rest,
    ) {
        let step = match engines {
            Rest::EverySecond => 2,
            Rest::All => 1,
        };
        for (_, engine) in self.fleet.engines_mut().step_by(step) {
            engine.rests = true;
        }
    }

    /// How long ago each engine got its last order, for the next scheduler.
    ///
    /// An engine without an order from this scheduler counts as having had one just before the
    /// takeover, unless the previous scheduler reported a longer time.
    pub fn rested(
        &self,
        now: Millis,
    ) -> Vec<(UpstreamId, Millis)> {
        let engines = self
            .fleet
            .upstreams
            .values()
            .filter_map(|up| Some((up.id, up.engine.as_ref()?)));
        engines
            .filter(|(_, engine)| !engine.has_order)
            .map(|(id, engine)| {
                let previous_order_at = engine.orders_from.since(self.settings.order_gap);
                (id, now.since(engine.ordered_at.max(previous_order_at)))
            })
            .collect()
    }

    /// Replaces the settings.
    pub fn set_settings(
        &mut self,
        settings: SchedulerSettings,
    ) {
        self.settings = settings;
    }

    /// Replaces the rate limits; accounts that are not listed have no limit.
    pub fn set_limits(
        &mut self,
        limits: BTreeMap<AccountId, Limit>,
        now: Millis,
    ) {
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
        facts: &UpstreamFacts,
        now: Millis,
    ) -> Vec<Action> {
        let load = self.settings.loads;
        self.fleet.set(id, facts, self.can_order, &load, now);
        self.decide(now)
    }

    /// Removes an upstream whose store entry is gone.
    pub fn remove_upstream(
        &mut self,
        id: UpstreamId,
    ) {
        self.fleet.remove(id);
    }

    /// Records that an operator has announced a version of an adapter.
    pub fn announce_version(
        &mut self,
        adapter: AdapterId,
        version: u32,
        source: Announcement,
        now: Millis,
    ) {
        self.versions.announce(adapter, version, source, now);
    }

    /// Applies an engine's own report; `None` if the request for it failed.
    pub fn report(
        &mut self,
        id: UpstreamId,
        facts: Option<&EngineFacts>,
        now: Millis,
    ) -> Vec<Action> {
        self.reports.note_answer(id);
        if let Some(facts) = facts {
            let load = self.settings.loads;
            self.fleet.report(id, facts, &load, now);
            self.reevaluate_all(now);
        }
        let mut actions = self.decide(now);
        self.request_reports(now, &mut actions);
        actions
    }

    /// Marks all queued requests for evaluation, as an engine may accept orders again; for long
    /// queues at most once per [`Self::full_evaluation_time`].
    fn reevaluate_all(
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
        end: OrderEnd,
        now: Millis,
    ) -> Vec<Action> {
        let load = self.settings.loads;
        self.fleet.refresh_totals(now);
        let fleet = &mut self.fleet;
        let next = loads::order_ended(fleet, &self.versions, upstream, order, end, &load, now);
        let mut actions: Vec<Action> = next.into_iter().collect();
        actions.extend(self.decide(now));
        actions
    }

    /// Queues a request, or refuses it at once.
    pub fn place(
        &mut self,
        ticket: Ticket,
        job: Job,
        now: Millis,
    ) -> Vec<Action> {
        let refuse = |refusal| {
            vec![Action::Refuse {
                ticket,
                refusal,
                waited_for: WaitReason::Turn,
            }]
        };
        self.fleet.refresh_totals(now);
        if let Err(refusal) = self.check_retry_budget(&job, now) {
            return refuse(refusal);
        }
        if let Err(refusal) = self.check_deadline(&job, now) {
            return refuse(refusal);
        }
        let charge = match self.charge(&job, now) {
            Ok(charge) => charge,
            Err(refusal) => return refuse(refusal),
        };
        let request = RequestId(self.next_request);
        let queue_item = self.queue_item(request, &job, now);
        if let Err(refusal) = self.queue.push(queue_item, now) {
            if let Some(charge) = charge {
                self.rates.settle(charge, false, now);
            }
            return refuse(refusal);
        }
        self.next_request += 1;
        self.update_queued_work(&job, true);
        self.on_time.insert((self.timely_until(&job), request));
        self.add_entry(request, ticket, job, Stage::Waiting, charge, now);
        self.decide(now)
    }

    /// Adds a request to the scheduler's entries.
    fn add_entry(
        &mut self,
        request: RequestId,
        ticket: Ticket,
        job: Job,
        stage: Stage,
        charge: Option<Charge>,
        now: Millis,
    ) {
        self.by_ticket.insert(ticket, request);
        let entry = Entry {
            ticket,
            timely_until: self.timely_until(&job),
            look_at: Millis::ZERO,
            look_epoch: self.evaluation_epoch,
            waits_for: WaitReason::Turn,
            waits_since: now,
            waited: WaitTimes::default(),
            forget_at: job.deadline + ORPHAN_TIMEOUT,
            job,
            stage,
            charge,
        };
        self.entries.insert(request, entry);
    }

    /// Records the decision about a request of this VM's own callers, by this or another scheduler.
    pub fn note_own(
        &mut self,
        account: AccountId,
        cost: u64,
        decided: OwnDecision,
        now: Millis,
    ) {
        match decided {
            OwnDecision::LetThrough => self.rates.note_own_use(account, cost, now),
            OwnDecision::OverRate => self.rates.note_own_refusal(account, now),
        }
    }

    /// Removes a request whose caller has gone or whose VM has given up on it.
    pub fn cancel(
        &mut self,
        ticket: Ticket,
        now: Millis,
    ) -> Vec<Action> {
        self.ended(ticket, Outcome::Abandoned, now)
    }

    /// Records the first event of an assigned generation, which shows that its prompt was
    /// processed.
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
            let reading = engine.backlog.read(request, now);
            engine
                .prefixes
                .note(generation.adapter, &generation.parts, now);
            if let Some(adapter) = adapter {
                engine.note_ready(adapter);
            }
            if let Some(reading) = reading {
                self.fleet.note_reading(entry.job.service, reading);
            }
        }
        self.decide(now)
    }

    /// Records the outcome of an assigned or queued request.
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

    /// Adds a request that was already running when this scheduler took over.
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
        let load = self.request_load(&job, upstream, now);
        self.fleet.assign(upstream, request, adapter, load, now);
        if has_begun && let Some(engine) = self.fleet.engine_mut(upstream) {
            engine.backlog.remove(request, now);
        }
        let stage = Stage::Running { upstream, adapter };
        self.add_entry(request, ticket, job, stage, None, now);
    }

    /// Removes all requests of a VM that is gone.
    pub fn forget_vm(
        &mut self,
        vm: u32,
        now: Millis,
    ) -> Vec<Action> {
        self.remove_matching(|ticket| ticket.vm == vm, now)
    }

    /// Removes all requests of VMs other than `vm`, after another scheduler has taken over.
    pub fn forget_others(
        &mut self,
        vm: u32,
        now: Millis,
    ) -> Vec<Action> {
        self.remove_matching(|ticket| ticket.vm != vm, now)
    }

    fn remove_matching<F>(
        &mut self,
        is_removed: F,
        now: Millis,
    ) -> Vec<Action>
    where
        F: Fn(Ticket) -> bool,
    {
        let removed: Vec<RequestId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_removed(entry.ticket))
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
        self.decide(now)
    }
}
