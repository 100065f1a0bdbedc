//! Chooses the upstream with the lowest expected cost, in milliseconds to the first token plus
//! penalties.

use {
    super::{
        Generation, Job, SchedulerSettings, WaitReason, announced_versions::AnnouncedVersions,
        engine::Engine, expected_cost::ExpectedCost, fleet::Fleet, queued_adapters::QueuedAdapters,
        request_load::Load, resident::DEMAND_HALF_LIFE, upstream::Upstream,
    },
    crate::{
        clock::Millis,
        ids::{AdapterId, AdapterVersion, ModelId, UpstreamId},
        placement::rendezvous_hash,
    },
};

mod best;
mod call_cost;
mod copy;
mod cost;
mod finish;
mod load;
mod preferred;

use best::BestOptions;
pub(super) use copy::CopyDemand;
pub(super) use preferred::PreferredEngines;

/// Services with up to this many engines have all of them evaluated for each request.
pub(super) const MAX_FULL_SCAN_ENGINES: usize = 24;
/// Preferred engines evaluated in a larger service, besides those that have the adapter.
///
/// Enough that one of them usually has an idle adapter slot.
const MAX_PREFERRED_ENGINES: usize = 12;
/// The same where copies are planned by demand: more engines offer an adapter that is worth less.
const MAX_PREFERRED_FOR_COPIES: usize = 24;
/// Bound on the engines sampled from those that may have the adapter, or from all members of the
/// service.
const MAX_SAMPLED_ENGINES: usize = 64;
/// Expected time from sending an order to an engine until its answer.
const ORDER_ROUND_TRIP_MS: f64 = 3.0;

/// An adapter load to order, with the engine and the adapter to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadPlan {
    pub upstream: UpstreamId,
    pub model: ModelId,
    pub adapter: AdapterVersion,
    /// The adapter to evict first, if any.
    pub evict: Option<AdapterVersion>,
}

/// What to do with one queued request: send it, load its adapter, or let it wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Choice {
    /// The upstream and adapter version to send it to; `None` keeps it queued.
    pub send: Option<(UpstreamId, Option<AdapterVersion>)>,
    /// An adapter load to start for it.
    pub load: Option<LoadPlan>,
    /// What it waits for if it isn't sent.
    pub wait_reason: WaitReason,
    /// The engine best suited for the load that can't be given orders yet; its report is requested.
    pub needs_report: Option<UpstreamId>,
}

/// The scheduler state that upstream selection reads.
#[derive(Clone, Copy, Debug)]
pub(super) struct SelectionContext<'a> {
    pub fleet: &'a Fleet,
    pub versions: &'a AnnouncedVersions,
    pub settings: &'a SchedulerSettings,
    /// Adapters for which requests are queued; they aren't evicted.
    pub queued_adapters: &'a QueuedAdapters,
    /// Whether this scheduler may send orders to engines.
    pub can_order: bool,
    /// Whether adapters may be evicted; not just after a takeover, when it isn't known which are in
    /// use.
    pub can_evict: bool,
    /// Expected time of a load from the adapter store that starts now, in milliseconds.
    pub cold_load_ms: f64,
    /// Demand for adapters where copies are planned by it; `None` elsewhere.
    pub demand: Option<CopyDemand<'a>>,
    /// Number of VMs that decide without a scheduler and share the slots of plain services; 1 for
    /// the elected scheduler.
    pub deciding_vms: u64,
    /// Number of the VM that forwards the request.
    pub vm: u32,
    /// Upstreams that may not get the request now.
    pub avoided: &'a [UpstreamId],
    /// Upstreams that get it only if no other one can: they alone have crashed under what it shares with others.
    pub crashed: &'a [UpstreamId],
    /// Its expected cost, if cost estimates take effect for its service.
    pub expected: Option<ExpectedCost>,
    pub now: Millis,
}

/// Estimated number of engines of a service that hold an adapter, and its recent use.
#[derive(Clone, Copy, Debug, Default)]
struct AdapterCopies {
    /// Engines that hold the current version or are loading it.
    count: f64,
    /// Sum of their recent uses, decayed.
    recent_uses: f64,
}

/// Which ready upstreams are candidates for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateFilter {
    /// Reachable upstreams that haven't failed this request, nor crashed under what it is on trial for.
    NotCrashed,
    /// Reachable upstreams that haven't failed this request.
    NotFailed,
    /// Reachable upstreams.
    Reachable,
    /// Ready upstreams, unreachable ones included.
    Ready,
}

/// The upstreams to evaluate for a request.
struct EngineSample<'a> {
    engines: Vec<&'a Upstream>,
    /// The sampled fraction of the engines that may have the adapter.
    fraction: f64,
}

impl<'a> EngineSample<'a> {
    const fn all(engines: Vec<&'a Upstream>) -> Self {
        Self {
            engines,
            fraction: 1.0,
        }
    }
}

/// How an engine can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServingOption {
    /// Send it now.
    Send(Option<AdapterVersion>),
    /// Wait: the engine is full, the adapter is loading, or the engine can't be given an order yet.
    Wait(WaitReason),
    /// Load the adapter first.
    Load {
        adapter: AdapterVersion,
        evict: Option<AdapterVersion>,
    },
}

impl SelectionContext<'_> {
    /// Decides about a request that is next in its account's queue.
    pub(super) fn choose(
        &self,
        job: &Job,
    ) -> Choice {
        match job.generation() {
            None => self.choose_call(job),
            Some(generation) => self.choose_engine(job, generation),
        }
    }

    fn choose_call(
        &self,
        job: &Job,
    ) -> Choice {
        let cost = |up: &&Upstream| {
            self.call_time(job, up) + self.penalty(job, up) + self.evacuation_penalty(up)
        };
        let best = self
            .candidates(job)
            .into_iter()
            .filter(|up| {
                self.has_call_slot(up)
                    && self.is_admitted(up)
                    && self.fleet.has_room_for_body(up, job, self.now)
            })
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        Choice {
            send: best
                .filter(|_| self.has_call_share(job))
                .map(|up| (up.id, None)),
            wait_reason: WaitReason::CallSlot,
            ..Choice::default()
        }
    }

    /// Whether this VM's share of the service's slots has one left.
    ///
    /// Without a scheduler each VM sees only its own calls: together they would overfill the
    /// upstreams, which turn the excess away.
    fn has_call_share(
        &self,
        job: &Job,
    ) -> bool {
        if self.deciding_vms <= 1 {
            return true;
        }
        let ready = self.fleet.ready(job.service);
        let (slots, running) = ready.fold((0, 0), |(slots, running), up| {
            (slots + self.fleet.call_capacity(up), running + up.running)
        });
        u64::from(running) < u64::from(slots).div_ceil(self.deciding_vms)
    }

    fn choose_engine(
        &self,
        job: &Job,
        generation: &Generation,
    ) -> Choice {
        let EngineSample { engines, fraction } = self.candidate_engines(job, generation);
        let copies = self.copies(generation, &engines, fraction);
        let mut best = BestOptions::default();
        self.evaluate_engines(job, generation, engines, copies, &mut best);
        if best.is_short_of_slots() && self.fleet.members(job.service).len() > MAX_FULL_SCAN_ENGINES
        {
            let others = self.sample_members(job, generation);
            self.evaluate_engines(job, generation, others, copies, &mut best);
        }
        best.into_choice(generation.model)
    }

    fn evaluate_engines(
        &self,
        job: &Job,
        generation: &Generation,
        engines: Vec<&Upstream>,
        copies: AdapterCopies,
        best: &mut BestOptions,
    ) {
        for up in engines {
            let Some(engine) = &up.engine else { continue };
            if !engine.models.contains(&generation.model) {
                continue;
            }
            let base = self.base_cost(job, up, engine);
            if let Some((cost, option)) =
                self.serving_option(job, generation, up, engine, base, copies)
            {
                let later = self.delay_of_later(job, engine);
                let cost =
                    cost + self.lateness_penalty(job, cost) + self.evacuation_penalty(up) + later;
                let without_queue = base + self.lateness_penalty(job, base) + later;
                best.consider(up.id, option, cost, without_queue);
            }
            if let Some(old) = self.usable_old_version(job, generation, engine)
                && self.has_capacity_for(job, up, engine)
            {
                best.consider_stale(up.id, old, base);
            }
        }
    }

    /// A sample of all members of the service, for requests without an adapter, with a required
    /// build or whose preferred engines are full.
    fn sample_members(
        &self,
        job: &Job,
        generation: &Generation,
    ) -> Vec<&Upstream> {
        let filter = self.filter(job);
        let members = self.fleet.members(job.service).iter();
        let all = members.map(|id| self.fleet.upstreams.get(id));
        let salt = u64::from(generation.adapter.map_or(0, |adapter| adapter.0));
        let is_candidate = |up: &&Upstream| self.matches_filter(filter, job, up);
        if job.build.is_none() {
            return self.sample(all, salt, is_candidate).engines;
        }
        // A sample of all might have none of the few upstreams with the required build.
        let eligible: Vec<_> = all
            .filter(|up| up.is_some_and(|up| up.may_serve(job)))
            .collect();
        self.sample(eligible.into_iter(), salt, is_candidate)
            .engines
    }

    /// The upstreams to evaluate for a generation.
    ///
    /// In a large service these are a sample of the engines that hold or cache the adapter, and a
    /// few that it prefers.
    fn candidate_engines(
        &self,
        job: &Job,
        generation: &Generation,
    ) -> EngineSample<'_> {
        let members = self.fleet.members(job.service);
        if members.len() <= MAX_FULL_SCAN_ENGINES {
            return EngineSample::all(self.candidates(job));
        }
        let filter = self.filter(job);
        let is_candidate = |up: &&Upstream| self.matches_filter(filter, job, up);
        let Some(adapter) = generation.adapter.filter(|_| job.build.is_none()) else {
            return EngineSample::all(self.sample_members(job, generation));
        };
        let wanted = self.versions.wanted(adapter);
        let has_adapter = |up: &Upstream| {
            let engine = up.engine.as_ref();
            engine.is_some_and(|e| e.has_any_version(adapter) || e.was_unloaded_recently(wanted))
        };
        let holders = self.fleet.holders(adapter);
        let mut candidates = self.sample(holders, u64::from(adapter.0), |up| {
            up.service == job.service && has_adapter(up) && is_candidate(up)
        });
        let max_preferred = match self.demand {
            Some(_) => MAX_PREFERRED_FOR_COPIES,
            None => MAX_PREFERRED_ENGINES,
        };
        let others = self.fleet.preferred(job.service, adapter);
        let others = others.filter(|up| !has_adapter(up) && is_candidate(up));
        candidates.engines.extend(others.take(max_preferred));
        candidates
    }

    /// Samples a list at equal steps, from an offset that changes with the time, and keeps the
    /// upstreams that match.
    fn sample<'b, I, F>(
        &self,
        list: I,
        salt: u64,
        is_candidate: F,
    ) -> EngineSample<'b>
    where
        I: ExactSizeIterator<Item = Option<&'b Upstream>>,
        F: Fn(&&Upstream) -> bool,
    {
        let len = list.len();
        let step = len.div_ceil(MAX_SAMPLED_ENGINES).max(1);
        let first = rendezvous_hash(salt, self.now.0) as usize % step;
        let sampled = list.skip(first).step_by(step);
        let fraction = 1.0 / step as f64;
        let engines = sampled.flatten().filter(is_candidate).collect();
        EngineSample { engines, fraction }
    }

    /// Estimates the copies of an adapter from those on `engines`, a sample of `fraction` of all
    /// that may have it.
    fn copies(
        &self,
        generation: &Generation,
        engines: &[&Upstream],
        fraction: f64,
    ) -> AdapterCopies {
        let Some(adapter) = generation.adapter else {
            return AdapterCopies::default();
        };
        let wanted = self.versions.wanted(adapter);
        let residents = engines
            .iter()
            .filter_map(|up| Some((up, up.engine.as_ref()?.resident(wanted)?)));
        let seen = residents.fold(AdapterCopies::default(), |copies, (up, resident)| {
            AdapterCopies {
                count: copies.count + f64::from(u8::from(up.evacuated_from.is_none())),
                recent_uses: copies.recent_uses + resident.demand.get(self.now, DEMAND_HALF_LIFE),
            }
        });
        AdapterCopies {
            count: seen.count / fraction,
            recent_uses: seen.recent_uses / fraction,
        }
    }

    /// Ready upstreams, without unreachable ones and those that failed this request if any others
    /// are left.
    fn candidates(
        &self,
        job: &Job,
    ) -> Vec<&Upstream> {
        let filter = self.filter(job);
        let ready = self.fleet.ready(job.service);
        ready
            .filter(|up| self.matches_filter(filter, job, up))
            .collect()
    }

    /// The strictest filter that at least one upstream of the service matches; the strictest of all for a hedge.
    fn filter(
        &self,
        job: &Job,
    ) -> CandidateFilter {
        let has_candidate = |&filter: &CandidateFilter| {
            let mut ready = self.fleet.ready(job.service);
            ready.any(|up| self.matches_filter(filter, job, up))
        };
        if job.is_hedge {
            return CandidateFilter::NotFailed;
        }
        let strict = [
            CandidateFilter::NotCrashed,
            CandidateFilter::NotFailed,
            CandidateFilter::Reachable,
        ];
        strict
            .into_iter()
            .find(has_candidate)
            .unwrap_or(CandidateFilter::Ready)
    }

    fn matches_filter(
        &self,
        filter: CandidateFilter,
        job: &Job,
        up: &Upstream,
    ) -> bool {
        let is_reachable = || up.health.is_available(self.now);
        up.accepts_requests(self.now)
            && up.may_serve(job)
            && !self.avoided.contains(&up.id)
            && up.statements.rests.left(self.vm, self.now) == Millis::ZERO
            && match filter {
                CandidateFilter::NotCrashed | CandidateFilter::NotFailed => {
                    let has_crashed = self.crashed.contains(&up.id);
                    is_reachable()
                        && !job.excluded_upstreams.contains(&up.id)
                        && (filter == CandidateFilter::NotFailed || !has_crashed)
                }
                CandidateFilter::Reachable => is_reachable(),
                CandidateFilter::Ready => true,
            }
    }

    /// How this engine can serve the request, with the cost in milliseconds.
    fn serving_option(
        &self,
        job: &Job,
        generation: &Generation,
        up: &Upstream,
        engine: &Engine,
        base: f64,
        copies: AdapterCopies,
    ) -> Option<(f64, ServingOption)> {
        let Some(adapter) = generation.adapter else {
            let option = if self.has_capacity_for(job, up, engine) {
                ServingOption::Send(None)
            } else {
                ServingOption::Wait(self.full_reason(job, up, engine))
            };
            return Some((base, option));
        };
        let wanted = self.versions.wanted(adapter);
        if let Some(wait) = engine
            .resident(wanted)
            .and_then(|resident| resident.wait(self.now))
        {
            let extra = (wait.0 as f64 - engine.backlog.wait(self.now)).max(0.0);
            let extra = extra + self.queue_delay(job, adapter, engine, copies);
            let option = match wait {
                Millis::ZERO if engine.is_being_probed(wanted) => {
                    ServingOption::Wait(WaitReason::Load)
                }
                Millis::ZERO if self.has_capacity_for(job, up, engine) => {
                    ServingOption::Send(Some(wanted))
                }
                Millis::ZERO => ServingOption::Wait(self.full_reason(job, up, engine)),
                _ => ServingOption::Wait(WaitReason::Load),
            };
            return Some((base + extra, option));
        }
        if engine
            .reserved
            .is_some_and(|(_, reserved)| reserved == wanted)
        {
            // The load starts once the slot is free; loading on another engine would make a
            // needless second copy.
            let load_ms = self.load_time_ms(up.id, engine.was_unloaded_recently(wanted))
                + ORDER_ROUND_TRIP_MS;
            let extra = (load_ms - engine.backlog.wait(self.now)).max(0.0);
            return Some((base + extra, ServingOption::Wait(WaitReason::Load)));
        }
        self.load_option(generation, up, engine, wanted, base, copies)
    }

    /// Delay by the other requests queued for the adapter, in milliseconds.
    fn queue_delay(
        &self,
        job: &Job,
        adapter: AdapterId,
        engine: &Engine,
        copies: AdapterCopies,
    ) -> f64 {
        let others = self.queued_adapters.requests(adapter).saturating_sub(1);
        let each = engine
            .backlog
            .time_for(Load::of(job, engine, self.now).prefill_tokens, self.now);
        f64::from(others) * each / copies.count.max(1.0)
    }
}
