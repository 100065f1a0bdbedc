use {
    crate::{
        ids::{AdapterId, ServiceId, UpstreamId},
        placement::rendezvous_hash,
    },
    std::collections::HashMap,
};

/// Engines kept for an adapter besides those that have it: twice what is looked at, as some may be failing or have
/// failed the request.
const SPARE: usize = 24;
/// Adapters for which they are kept; all are forgotten beyond.
const MAX_ADAPTERS: usize = 16_384;
/// Engines that have joined since, at most, before lists are made anew instead of brought up to date.
const MAX_JOINED: usize = 256;

/// The engines that each adapter prefers by rendezvous hashing, kept up to date as engines come and go.
///
/// Hashing all engines for each look at a request costs more than the rest of the decision where there are thousands.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct PreferredEngines {
    lists: HashMap<(ServiceId, AdapterId), List>,
    /// Engines of any service, in the order in which they joined.
    joined: Vec<UpstreamId>,
    /// Engines that have left a service so far.
    departures: u64,
}

#[derive(Clone, Debug, Default)]
struct List {
    /// The best first.
    engines: Vec<UpstreamId>,
    /// How many are kept at the most.
    kept: usize,
    /// How many have left since the list was made.
    lost: usize,
    /// The departures that were looked at.
    departures: u64,
    /// How many of those that joined were considered.
    considered: usize,
}

impl PreferredEngines {
    /// Notes an engine that was not known before.
    pub(in crate::scheduler) fn note_joined(
        &mut self,
        engine: UpstreamId,
    ) {
        self.joined.push(engine);
        if self.joined.len() > MAX_JOINED {
            self.joined.clear();
            self.lists.clear();
        }
    }

    /// Notes that an engine has left its service.
    pub(in crate::scheduler) const fn note_left(&mut self) {
        self.departures += 1;
    }

    /// Brings the list of an adapter up to date with the engines of a service, which are sorted by id; as many as
    /// `holders` of them may have it already.
    pub(in crate::scheduler) fn prepare(
        &mut self,
        service: ServiceId,
        adapter: AdapterId,
        members: &[UpstreamId],
        holders: usize,
    ) {
        if self.lists.len() >= MAX_ADAPTERS && !self.lists.contains_key(&(service, adapter)) {
            self.lists.clear();
        }
        let list = self.lists.entry((service, adapter)).or_default();
        let is_member = |engine: &UpstreamId| members.binary_search(engine).is_ok();
        if list.departures != self.departures {
            let before = list.engines.len();
            list.engines.retain(is_member);
            list.lost += before - list.engines.len();
            list.departures = self.departures;
        }
        let kept = (holders + SPARE).next_power_of_two();
        if kept > list.kept || list.lost > SPARE / 2 {
            *list = List::of_all(adapter, members, kept);
            list.departures = self.departures;
        } else {
            let new = self.joined[list.considered..].iter().copied();
            new.filter(is_member)
                .for_each(|engine| list.consider(adapter, engine));
        }
        list.considered = self.joined.len();
    }

    /// The engines that an adapter prefers, the best first; none unless they were prepared.
    pub(in crate::scheduler) fn of(
        &self,
        service: ServiceId,
        adapter: AdapterId,
    ) -> &[UpstreamId] {
        let list = self.lists.get(&(service, adapter));
        list.map_or(&[], |list| list.engines.as_slice())
    }
}

impl List {
    fn of_all(
        adapter: AdapterId,
        engines: &[UpstreamId],
        kept: usize,
    ) -> Self {
        let mut scored: Vec<(u64, UpstreamId)> = engines
            .iter()
            .map(|&engine| (score(adapter, engine), engine))
            .collect();
        if scored.len() > kept {
            scored.select_nth_unstable_by(kept - 1, |a, b| b.cmp(a));
            scored.truncate(kept);
        }
        scored.sort_unstable_by(|a, b| b.cmp(a));
        Self {
            engines: scored.into_iter().map(|(_, engine)| engine).collect(),
            kept,
            ..Self::default()
        }
    }

    fn consider(
        &mut self,
        adapter: AdapterId,
        engine: UpstreamId,
    ) {
        let rank = |engine: UpstreamId| (score(adapter, engine), engine);
        let mine = rank(engine);
        let at = self.engines.partition_point(|&other| rank(other) > mine);
        if at < self.kept && self.engines.get(at) != Some(&engine) {
            self.engines.insert(at, engine);
            self.engines.truncate(self.kept);
        }
    }
}

fn score(
    adapter: AdapterId,
    engine: UpstreamId,
) -> u64 {
    rendezvous_hash(u64::from(adapter.0), u64::from(engine.0))
}
