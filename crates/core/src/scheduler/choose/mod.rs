//! Where a request would get its first token first.

use {
    super::{
        Generation, Job, SchedulerSettings, WaitReason,
        engine::Engine,
        fleet::{Fleet, Load},
        place::DEMAND_HALF_LIFE,
        upstream::Upstream,
        version_book::VersionBook,
    },
    crate::{
        clock::Millis,
        ids::{AdapterId, AdapterVersion, ModelId, UpstreamId},
        placement::rendezvous_hash,
    },
    std::collections::HashMap,
};

mod best;
mod load;
mod preferred;

use best::Best;
pub(super) use preferred::PreferredEngines;

/// What a request that leaves its data centre counts as, in milliseconds. Bytes between data centres are
/// dear to the users: a prompt and its answer cost about a hundredth of what the answer is worth.
const ELSEWHERE_MS: f64 = 15.0;
/// What a share of failed requests counts as, in milliseconds: a request that fails is lost or waits for a
/// whole further attempt.
const FAILING_MS: f64 = 1_500.0;
/// What a late first token counts as beyond its time: two thirds of an answer's worth.
const LATE_MS: f64 = 3_500.0;
/// From this part of what is left of its objective on a request may become late, from the other it surely does:
/// what is expected is right to about a third.
const LATE_FROM: f64 = 0.6;
const LATE_BY: f64 = 1.2;
/// Each request that runs on an engine makes its steps longer, in milliseconds until a first token.
const RUNNING_MS: f64 = 0.4;
/// What a stream counts as, in milliseconds, that pauses for too long: it is late as if its first token were.
const STALL_MS: f64 = 250.0;
/// Streams may pause for too long where the prompts that are read one after the other take this part of the longest good
/// pause; they surely do where they take all of it.
const STALL_FROM: f64 = 0.6;
/// Up to so many engines are all looked at.
pub(super) const MANY: usize = 24;
/// Of many engines, so many are looked at besides those that have the adapter: enough that one of them has an idle place.
const PREFERRED: usize = 12;
/// Of the engines that may have the adapter, so many are looked at; of those that could run a base model as many.
const SAMPLED: usize = 64;
/// An order and its answer take about this long.
const ORDER_MS: f64 = 3.0;

/// What is to be loaded where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadPlan {
    pub upstream: UpstreamId,
    pub model: ModelId,
    pub adapter: AdapterVersion,
    /// The adapter that has to go first.
    pub evict: Option<AdapterVersion>,
}

/// What is best for a request now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Choice {
    /// Send it there; none: let it wait.
    pub send: Option<(UpstreamId, Option<AdapterVersion>)>,
    /// Load its adapter.
    pub load: Option<LoadPlan>,
    /// What it waits for where it isn't sent.
    pub waits_for: WaitReason,
    /// An engine that could be ordered if it were known what it holds.
    pub unsure: Option<UpstreamId>,
}

/// What a choice depends on beside the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct View<'a> {
    pub fleet: &'a Fleet,
    pub versions: &'a VersionBook,
    pub settings: &'a SchedulerSettings,
    /// Waiting requests by adapter: what they want isn't evicted.
    pub wanted: &'a HashMap<AdapterId, u32>,
    /// Whether engines may be given orders.
    pub may_order: bool,
    /// Whether adapters may be dropped: whoever has just taken over doesn't know yet what is in use.
    pub may_evict: bool,
    /// How long a load from the adapter store takes if it begins now, in milliseconds.
    pub cold_ms: f64,
    pub now: Millis,
}

/// The copies of an adapter, as far as all engines' choices depend on them.
#[derive(Clone, Copy, Debug, Default)]
struct Copies {
    /// Engines that have the version wanted or get it.
    count: f64,
    /// Recent uses of all of them.
    uses: f64,
}

/// Which ready upstreams a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Filter {
    /// Those that can be reached and haven't failed it.
    Untried,
    /// Those that can be reached.
    Open,
    /// All.
    Ready,
}

/// Upstreams that are looked at for a request.
struct Near<'a> {
    engines: Vec<&'a Upstream>,
    /// The part that they are of all that have its adapter.
    part: f64,
}

impl<'a> Near<'a> {
    const fn all(engines: Vec<&'a Upstream>) -> Self {
        Self { engines, part: 1.0 }
    }
}

/// How an engine could serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// At once.
    Send(Option<AdapterVersion>),
    /// Later: it is full, or the adapter is on its way or takes an order that can't be given yet.
    Wait(WaitReason),
    /// After a load.
    Load {
        adapter: AdapterVersion,
        evict: Option<AdapterVersion>,
    },
}

impl View<'_> {
    /// Decides about a request that is next in its account's line.
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
        let cost = |up: &&Upstream| up.call_time(self.now) + self.penalty(job, up);
        let best = self
            .candidates(job)
            .into_iter()
            .filter(|up| up.takes_calls())
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        Choice {
            send: best.map(|up| (up.id, None)),
            waits_for: WaitReason::CallSlot,
            ..Choice::default()
        }
    }

    fn choose_engine(
        &self,
        job: &Job,
        generation: &Generation,
    ) -> Choice {
        let Near { engines, part } = self.engines_to_look_at(job, generation);
        let copies = self.copies(generation, &engines, part);
        let mut best = Best::default();
        self.weigh_all(job, generation, engines, copies, &mut best);
        if best.lacks_place() && self.fleet.members(job.service).len() > MANY {
            let others = self.others(job, generation);
            self.weigh_all(job, generation, others, copies, &mut best);
        }
        best.choice(generation.model)
    }

    fn weigh_all(
        &self,
        job: &Job,
        generation: &Generation,
        engines: Vec<&Upstream>,
        copies: Copies,
        best: &mut Best,
    ) {
        for up in engines {
            let Some(engine) = &up.engine else { continue };
            if !engine.models.contains(&generation.model) {
                continue;
            }
            let base = self.base_cost(job, up, engine);
            if let Some((cost, way)) = self.way(job, generation, up, engine, base, copies) {
                let cost = cost + self.lateness(job, cost);
                best.weigh(up.id, way, cost, base + self.lateness(job, base));
            }
            if let Some(old) = self.usable_old(generation, engine)
                && self.can_take(job, up, engine)
            {
                best.weigh_stale(up.id, old, base);
            }
        }
    }

    /// Some more engines, where those that an adapter prefers have no place for it: others may stand idle.
    fn others(
        &self,
        job: &Job,
        generation: &Generation,
    ) -> Vec<&Upstream> {
        let filter = self.filter(job);
        let members = self.fleet.members(job.service).iter();
        let all = members.map(|id| self.fleet.upstreams.get(id));
        let salt = generation.adapter.map_or(0, |adapter| adapter.0);
        let takes = |up: &&Upstream| self.passes(filter, job, up);
        self.sample(all, u64::from(salt), takes).engines
    }

    /// The upstreams that are worth a closer look. Where there are many engines, these are some that have the adapter or
    /// had it lately, and a few that it prefers.
    fn engines_to_look_at(
        &self,
        job: &Job,
        generation: &Generation,
    ) -> Near<'_> {
        let members = self.fleet.members(job.service);
        if members.len() <= MANY {
            return Near::all(self.candidates(job));
        }
        let filter = self.filter(job);
        let takes = |up: &&Upstream| self.passes(filter, job, up);
        let Some(adapter) = generation.adapter else {
            return Near::all(self.others(job, generation));
        };
        let wanted = self.versions.wanted(adapter);
        let has_it = |up: &Upstream| {
            let engine = up.engine.as_ref();
            engine.is_some_and(|e| e.place_of(adapter).is_some() || e.keeps_warm(wanted))
        };
        let holders = self.fleet.holders(adapter);
        let mut near = self.sample(holders, u64::from(adapter.0), |up| {
            up.service == job.service && has_it(up) && takes(up)
        });
        let others = self.fleet.preferred(job.service, adapter);
        let others = others.filter(|up| !has_it(up) && takes(up));
        near.engines.extend(others.take(PREFERRED));
        near
    }

    /// Some of a list of upstreams, each time others: the same part of it whatever its order.
    fn sample<'b, I, F>(
        &self,
        list: I,
        salt: u64,
        takes: F,
    ) -> Near<'b>
    where
        I: ExactSizeIterator<Item = Option<&'b Upstream>>,
        F: Fn(&&Upstream) -> bool,
    {
        let len = list.len();
        let step = len.div_ceil(SAMPLED).max(1);
        let first = rendezvous_hash(salt, self.now.0) as usize % step;
        let sampled = list.skip(first).step_by(step);
        let part = 1.0 / step as f64;
        let engines = sampled.flatten().filter(takes).collect();
        Near { engines, part }
    }

    /// What of an adapter there is on the engines that are looked at, among which is that part of all that have it.
    fn copies(
        &self,
        generation: &Generation,
        engines: &[&Upstream],
        part: f64,
    ) -> Copies {
        let Some(adapter) = generation.adapter else {
            return Copies::default();
        };
        let wanted = self.versions.wanted(adapter);
        let places = engines
            .iter()
            .filter_map(|up| up.engine.as_ref()?.place(wanted));
        let seen = places.fold(Copies::default(), |copies, place| Copies {
            count: copies.count + 1.0,
            uses: copies.uses + place.demand.get(self.now, DEMAND_HALF_LIFE),
        });
        Copies {
            count: seen.count / part,
            uses: seen.uses / part,
        }
    }

    /// Ready upstreams, without those that failed this request or that can't be reached, as long as there are others.
    fn candidates(
        &self,
        job: &Job,
    ) -> Vec<&Upstream> {
        let filter = self.filter(job);
        let ready = self.fleet.ready(job.service);
        ready.filter(|up| self.passes(filter, job, up)).collect()
    }

    /// The strictest filter that leaves an upstream of the service.
    fn filter(
        &self,
        job: &Job,
    ) -> Filter {
        let leaves_one = |&filter: &Filter| {
            let mut ready = self.fleet.ready(job.service);
            ready.any(|up| self.passes(filter, job, up))
        };
        let strict = [Filter::Untried, Filter::Open];
        strict.into_iter().find(leaves_one).unwrap_or(Filter::Ready)
    }

    fn passes(
        &self,
        filter: Filter,
        job: &Job,
        up: &Upstream,
    ) -> bool {
        let is_open = || up.health.is_open(self.now);
        up.is_ready
            && match filter {
                Filter::Untried => is_open() && !job.avoid.contains(&up.id),
                Filter::Open => is_open(),
                Filter::Ready => true,
            }
    }

    /// What counts against an upstream whatever the request is, in milliseconds.
    fn penalty(
        &self,
        job: &Job,
        up: &Upstream,
    ) -> f64 {
        let is_elsewhere = job.data_centre.is_some() && job.data_centre != up.data_centre;
        let way = if is_elsewhere { ELSEWHERE_MS } else { 0.0 };
        way + up.health.failing(self.now) * FAILING_MS
    }

    /// The time to the first token if the adapter were there.
    fn base_cost(
        &self,
        job: &Job,
        up: &Upstream,
        engine: &Engine,
    ) -> f64 {
        let unread = Load::of(job, engine, self.now).unread;
        let reading = engine.backlog.wait(self.now) + engine.backlog.time_for(unread, self.now);
        reading
            + stall(job, up, engine, reading)
            + f64::from(up.running) * RUNNING_MS
            + self.penalty(job, up)
    }

    /// What a first token after `wait` milliseconds counts as for being late.
    fn lateness(
        &self,
        job: &Job,
        wait: f64,
    ) -> f64 {
        let left = job.objective.since(self.now).0 as f64;
        let (from, by) = (left * LATE_FROM, left * LATE_BY);
        LATE_MS * ((wait - from) / (by - from).max(1.0)).clamp(0.0, 1.0)
    }

    fn way(
        &self,
        job: &Job,
        generation: &Generation,
        up: &Upstream,
        engine: &Engine,
        base: f64,
        copies: Copies,
    ) -> Option<(f64, Way)> {
        let Some(adapter) = generation.adapter else {
            let way = if self.can_take(job, up, engine) {
                Way::Send(None)
            } else {
                Way::Wait(self.full_reason(job, up, engine))
            };
            return Some((base, way));
        };
        let wanted = self.versions.wanted(adapter);
        if let Some(wait) = engine.place(wanted).and_then(|place| place.wait(self.now)) {
            let extra = (wait.0 as f64 - engine.backlog.wait(self.now)).max(0.0);
            let extra = extra + self.queue_ahead(job, adapter, engine, copies);
            let way = match wait {
                Millis::ZERO if engine.is_being_tried(wanted) => Way::Wait(WaitReason::Load),
                Millis::ZERO if self.can_take(job, up, engine) => Way::Send(Some(wanted)),
                Millis::ZERO => Way::Wait(self.full_reason(job, up, engine)),
                _ => Way::Wait(WaitReason::Load),
            };
            return Some((base + extra, way));
        }
        if engine
            .reserved
            .is_some_and(|(_, reserved)| reserved == wanted)
        {
            // Its load follows as soon as a place is free. Another engine's would be a second copy for nothing.
            let takes = self.load_time(engine.keeps_warm(wanted)) + ORDER_MS;
            let extra = (takes - engine.backlog.wait(self.now)).max(0.0);
            return Some((base + extra, Way::Wait(WaitReason::Load)));
        }
        self.load_way(generation, up, engine, wanted, base, copies)
    }

    /// How long the requests that wait for an adapter hold up the last of them, in milliseconds.
    fn queue_ahead(
        &self,
        job: &Job,
        adapter: AdapterId,
        engine: &Engine,
        copies: Copies,
    ) -> f64 {
        let waiting = self.wanted.get(&adapter).copied().unwrap_or_default();
        let others = waiting.saturating_sub(1);
        let each = engine
            .backlog
            .time_for(Load::of(job, engine, self.now).unread, self.now);
        f64::from(others) * each / copies.count.max(1.0)
    }
}

/// What the pauses count as that the streams on an engine would have if it read this prompt too; `reading` is how long
/// it would read in one go, in milliseconds.
///
/// An engine reads prompts in pieces between the tokens of its streams, each of which then takes as long as a piece. A
/// stream whose event holds several tokens pauses for as many pieces, so one that comes after another without an end
/// makes all streams there late, though their first tokens were in time.
fn stall(
    job: &Job,
    up: &Upstream,
    engine: &Engine,
    reading: f64,
) -> f64 {
    let Some(gap) = job.gap_objective else {
        return 0.0;
    };
    let gap = gap.0 as f64;
    let from = gap * STALL_FROM;
    let share = ((reading - from) / (gap - from).max(1.0)).clamp(0.0, 1.0);
    let streams = up.running.saturating_sub(engine.backlog.len() as u32);
    share * f64::from(streams) * STALL_MS
}
