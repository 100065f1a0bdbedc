//! What is sent, loaded, put behind and refused with every event, and what a request's end sets free.

use {
    super::{LEAST_RETRY, Scheduler},
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AdapterVersion, RequestId, UpstreamId},
        queue::Waiting,
        scheduler::{
            Job, Outcome, SchedulerAction as Action,
            choose::{Choice, View},
            fleet::Load,
            fleet_totals::FleetTotals,
            loads,
            running::Stage,
        },
    },
};

/// Waiting requests that are looked at in a millisecond at most. When few wait, each is looked at with every event;
/// when hundreds do, each every few ten milliseconds.
const LOOKS_A_MS: usize = 4;
/// Of more waiting requests than these not all are passed over with every event.
const SHORT_QUEUE: usize = 48;
/// So many of them are passed over in a millisecond at most. A pass over 500 takes some 50 us and there are three events a
/// request: the longer the queue of a scheduler that was late, the later it was.
const PASSED_A_MS: usize = 50;
/// How long a waiting request isn't looked at again at the least: what it waits for is mostly a load of 25 or 250 ms. At
/// 850 requests a second and 140 engines 6.5 looks a request in place of 10.4, with as many first tokens in time.
const LEAST_LOOK_PAUSE: Millis = Millis(10);
/// How much later a request counts as having come once it can't be on time: what comes within this time and can
/// goes first.
const LATE_PATIENCE: Millis = Millis(3_000);
/// A late request is refused when what waits would take more than one part in so many of the time that it has left:
/// what comes meanwhile and can be on time goes first.
const HOPELESS: u64 = 2;

/// How often engines are looked at, at the most: what is wanted of them can wait so long.
const LOOK_AT_ENGINES: Millis = Millis(5);

/// Which waiting requests are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// Those that can still be on time.
    Timely,
    /// All.
    All,
}

impl Scheduler {
    /// Sends, loads and refuses whatever can be decided now.
    pub(super) fn decide(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        self.fleet.refresh_totals(now);
        let mut actions = self.refuse_late(now);
        actions.extend(self.postpone_late(now));
        if now >= self.next_pass {
            self.pass_over(now, &mut actions);
            self.next_pass = now + self.pass_pause();
        }
        if self.may_order && now >= self.engines_looked_at + self.engines_pause() {
            self.engines_looked_at = now;
            self.look_at_engines(now, &mut actions);
        }
        self.fleet.refresh_totals(now);
        actions
    }

    /// How often all engines are looked at.
    pub(super) fn engines_pause(&self) -> Millis {
        LOOK_AT_ENGINES.max(FleetTotals::pause(self.fleet.upstreams.len()))
    }

    /// How long it takes to look at all that waits.
    pub(super) fn look_through_time(&self) -> Millis {
        match self.queue.len() {
            short if short <= SHORT_QUEUE => Millis::ZERO,
            long => Millis((long / LOOKS_A_MS) as u64),
        }
    }

    /// Sends and loads for those that wait: first for those that can be on time, then for all.
    fn pass_over(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.queue.is_empty() {
            return;
        }
        let mut cold = self.fleet.cold_time(&self.settings.loads, now);
        for turn in [Turn::Timely, Turn::All] {
            self.send_and_load(turn, &mut cold, now, actions);
        }
    }

    fn pass_pause(&self) -> Millis {
        match self.queue.len() {
            short if short <= SHORT_QUEUE => Millis::ZERO,
            long => Millis((long / PASSED_A_MS).max(1) as u64),
        }
    }

    /// Asks for the reports that are wanted and has base models loaded where there are none.
    fn look_at_engines(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        actions.extend(self.model_loads.plan(&mut self.fleet, now));
        let due = self.fleet.reports_due(now);
        self.reports.set_due(due, now);
        self.ask_reports(now, actions);
    }

    /// Asks for as many of the reports that are wanted as may be out at a time.
    pub(super) fn ask_reports(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if !self.may_order {
            return;
        }
        let Self { fleet, reports, .. } = self;
        let mut ask = |engine| fleet.engine_mut(engine)?.ask_report(now);
        while let Some(upstream) = reports.next(&mut ask) {
            actions.push(Action::AskReport { upstream });
        }
    }

    fn refuse_late(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        for Waiting { request, .. } in self.queue.expire(now) {
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
                actions.extend(self.refuse(request, refusal, now));
            } else {
                self.queue.postpone(request, LATE_PATIENCE, now);
            }
        }
        actions
    }

    /// Refuses a request that waits.
    fn refuse(
        &mut self,
        request: RequestId,
        refusal: Refusal,
        now: Millis,
    ) -> Option<Action> {
        let entry = self.entries.get_mut(&request)?;
        let ticket = entry.ticket;
        let waited_for = entry.waited_for(now);
        self.finish(request, Outcome::Abandoned, now);
        Some(Action::Refuse {
            ticket,
            refusal,
            waited_for,
        })
    }

    fn send_and_load(
        &mut self,
        turn: Turn,
        cold: &mut Millis,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let may_order = self.may_order;
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
                    reports,
                    look_epoch,
                    ..
                } = self;

                let pause = Millis((queue.len() / LOOKS_A_MS) as u64).max(LEAST_LOOK_PAUSE);
                let may_evict = now >= self.evicts_from;
                queue.pop(now, |waiting| {
                    let Some(entry) = entries.get_mut(&waiting.request) else {
                        return true;
                    };
                    let until = entry.timely_until;
                    let is_early = now < entry.look_at && entry.look_epoch == *look_epoch;
                    if is_early
                        || (turn == Turn::Timely && !timely.contains(&(until, waiting.request)))
                    {
                        return false;
                    }
                    looked += 1;
                    entry.look_epoch = *look_epoch;
                    fleet.prepare(&entry.job);
                    let view = View {
                        fleet,
                        versions,
                        settings,
                        wanted,
                        may_order,
                        may_evict,
                        cold_ms: cold.0 as f64,
                        now,
                    };
                    let Choice {
                        send,
                        load,
                        waits_for,
                        unsure,
                    } = view.choose(&entry.job);
                    if let Some(engine) = unsure {
                        reports.note_urgent(engine);
                    }
                    if let Some(plan) = load {
                        let order = loads::begin(fleet, versions, &plan, &settings.loads, now);
                        actions.extend(order);
                        *cold = fleet.cold_time(&settings.loads, now);
                    }
                    if send.is_none() {
                        entry.look_at = now + pause;
                        entry.waits_for(waits_for, now);
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

    pub(super) fn assign(
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
        let waited_for = entry.waited_for(now);
        self.waits.add_all(&entry.waited);
        let version = adapter
            .filter(|adapter| self.versions.announced_version(adapter.adapter).is_some())
            .map(|adapter| adapter.version);
        Some(Action::Assign {
            ticket: entry.ticket,
            upstream,
            version,
            waited_for,
        })
    }

    pub(super) fn load(
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

    pub(super) fn note_wanted(
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

    pub(super) fn finish(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        now: Millis,
    ) {
        let Some(mut entry) = self.entries.remove(&request) else {
            return;
        };
        self.by_ticket.remove(&entry.ticket);
        let has_run = match entry.stage {
            Stage::Waiting => {
                entry.waits_for(entry.waits_for, now);
                self.waits.add_all(&entry.waited);
                self.timely.remove(&(entry.timely_until, request));
                self.queue.cancel(request, now);
                self.note_wanted(&entry.job, false);
                false
            }
            Stage::Running { upstream, adapter } => {
                let total = entry.job.generation().map_or(0, |g| g.size.total());
                self.fleet.release(upstream, request, adapter, total, now);
                let load = self.settings.loads;
                self.fleet.learn(upstream, adapter, outcome, &load, now);
                true
            }
        };
        if let Some(charge) = entry.charge {
            self.rates.settle(charge, has_run, now);
        }
    }
}
