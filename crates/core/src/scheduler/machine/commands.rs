//! What the scheduler is told: its role, settings, upstreams, requests and their ends.

use {
    super::{FORGET_AFTER, Scheduler},
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

/// How long after a takeover the other VMs have all told what they run. An adapter that is ordered to go while it
/// is used blocks its engine until its runs have ended, and nobody can be sent to it meanwhile.
const INTRODUCTIONS: Millis = Millis(500);

impl Scheduler {
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
            let orders_from = match share {
                RightsShare::Fresh => now,
                RightsShare::TakenOver | RightsShare::Part(_) => now + self.settings.order_gap,
            };
            self.fleet.orders_from = orders_from;
            if share != RightsShare::Fresh {
                self.taken_over_at = Some(now);
                self.repeats.clear();
            }
            for (_, engine) in self.fleet.engines_mut() {
                engine.has_order = false;
                engine.rests = false;
                engine.orders_from = orders_from;
                engine.doubt(Millis::ZERO);
            }
        }
        self.may_order = may_order;
        self.rates.set_share(share, now);
    }

    /// The scheduler before was an earlier run on this VM. To engines that is the same orderer, and it is surely over.
    pub fn continue_own_orders(
        &mut self,
        now: Millis,
    ) {
        self.fleet.orders_from = now;
        for (_, engine) in self.fleet.engines_mut() {
            engine.orders_from = now;
        }
    }

    /// Takes from the scheduler before how long ago each engine had its last order.
    pub fn note_rested(
        &mut self,
        upstream: UpstreamId,
        rested: Millis,
        now: Millis,
    ) {
        let gap = self.settings.order_gap;
        if let Some(engine) = self.fleet.engine_mut(upstream) {
            engine.orders_from = engine.orders_from.min(now + gap.since(rested));
        }
    }

    /// Gives engines no more orders, as the lead is about to be handed on.
    ///
    /// Where engines check no fencing tokens, whoever follows must not order an engine until some time after its last
    /// order. If all had their last one with the end of the lead, nothing could be loaded for that time, for seconds on
    /// every planned restart of the VM that schedules.
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

    /// How long ago each engine had its last order, for whoever follows: from this scheduler, or from one before it, which
    /// an engine that may not be ordered yet may have had just before this one took over.
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
                let by_others = engine.orders_from.since(self.settings.order_gap);
                (id, now.since(engine.ordered_at.max(by_others)))
            })
            .collect()
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
        self.reports.note_answer(id);
        if let Some(facts) = facts {
            let load = self.settings.loads;
            self.fleet.report(id, facts, &load, now);
            self.look_at_all(now);
        }
        let mut actions = self.decide(now);
        self.ask_reports(now, &mut actions);
        actions
    }

    /// Has all waiting requests looked at with the next event, as an engine may take orders again; of a long queue only
    /// as often as it can be looked through.
    fn look_at_all(
        &mut self,
        now: Millis,
    ) {
        if now >= self.next_epoch {
            self.look_epoch += 1;
            self.next_epoch = now + self.look_through_time();
        }
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
        self.fleet.refresh_totals(now);
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
        let refuse = |refusal| {
            vec![Action::Refuse {
                ticket,
                refusal,
                waited_for: WaitReason::Turn,
            }]
        };
        self.fleet.refresh_totals(now);
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
        self.note_wanted(&job, true);
        self.timely.insert((self.timely_until(&job), request));
        self.enter(request, ticket, job, Stage::Waiting, charge, now);
        self.decide(now)
    }

    fn enter(
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
            look_epoch: self.look_epoch,
            waits_for: WaitReason::Turn,
            waits_since: now,
            waited: WaitTimes::default(),
            forget_at: job.deadline + FORGET_AFTER,
            job,
            stage,
            charge,
        };
        self.entries.insert(request, entry);
    }

    /// Notes what was decided of a request of this VM's own callers, whoever decided.
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
        let stage = Stage::Running { upstream, adapter };
        self.enter(request, ticket, job, stage, None, now);
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
}
