use crate::{
    IdMap,
    ids::{AdapterId, ServiceId, UpstreamId},
    placement::rendezvous_hash,
};

/// Engines kept per adapter besides those that hold it; more than are evaluated, as some may be
/// unusable for a request.
///
/// Twice as many as are evaluated.
const SPARE_ENGINES: usize = 24;
/// Bound on the cached rankings; all are cleared when it is reached.
const MAX_RANKINGS: usize = 16_384;
/// Bound on the log of joined engines; beyond it all rankings are rebuilt instead of updated.
const MAX_JOIN_LOG: usize = 256;

/// Caches each adapter's engines in order of rendezvous hash, and updates them as engines join and
/// leave.
///
/// With thousands of engines, hashing all of them for each evaluation would dominate its cost.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct PreferredEngines {
    rankings: IdMap<(ServiceId, AdapterId), Ranking>,
    /// Log of joined engines of all services, oldest first.
    joined: Vec<UpstreamId>,
    /// Number of engines that have left their service so far.
    departures: u64,
}

#[derive(Clone, Debug, Default)]
struct Ranking {
    /// Highest score first.
    engines: Vec<UpstreamId>,
    /// Bound on the length of `engines`.
    max_len: usize,
    /// Engines removed since the ranking was built.
    removed: usize,
    /// Value of [`PreferredEngines::departures`] at the last update.
    departures: u64,
    /// Entries of [`PreferredEngines::joined`] that have been applied.
    applied_join_count: usize,
}

impl PreferredEngines {
    /// Records an engine that has joined a service.
    pub(in crate::scheduler) fn record_join(
        &mut self,
        engine: UpstreamId,
    ) {
        self.joined.push(engine);
        if self.joined.len() > MAX_JOIN_LOG {
            self.joined.clear();
            self.rankings.clear();
        }
    }

    /// Records that an engine has left its service.
    pub(in crate::scheduler) const fn record_departure(&mut self) {
        self.departures += 1;
    }

    /// Updates an adapter's ranking to the engines of a service.
    ///
    /// `members` must be sorted by id; `holders` is an upper bound on the engines that have the
    /// adapter already.
    pub(in crate::scheduler) fn prepare(
        &mut self,
        service: ServiceId,
        adapter: AdapterId,
        members: &[UpstreamId],
        holders: usize,
    ) {
        if self.rankings.len() >= MAX_RANKINGS && !self.rankings.contains_key(&(service, adapter)) {
            self.rankings.clear();
        }
        let ranking = self.rankings.entry((service, adapter)).or_default();
        let is_member = |engine: &UpstreamId| members.binary_search(engine).is_ok();
        if ranking.departures != self.departures {
            let before = ranking.engines.len();
            ranking.engines.retain(is_member);
            ranking.removed += before - ranking.engines.len();
            ranking.departures = self.departures;
        }
        let max_len = (holders + SPARE_ENGINES).next_power_of_two();
        if max_len > ranking.max_len || ranking.removed > SPARE_ENGINES / 2 {
            *ranking = Ranking::build(adapter, members, max_len);
            ranking.departures = self.departures;
        } else {
            let new = self.joined[ranking.applied_join_count..].iter().copied();
            new.filter(is_member)
                .for_each(|engine| ranking.insert(adapter, engine));
        }
        ranking.applied_join_count = self.joined.len();
    }

    /// An adapter's preferred engines, best first; empty before the first [`Self::prepare`].
    pub(in crate::scheduler) fn of(
        &self,
        service: ServiceId,
        adapter: AdapterId,
    ) -> &[UpstreamId] {
        let ranking = self.rankings.get(&(service, adapter));
        ranking.map_or(&[], |ranking| ranking.engines.as_slice())
    }
}

impl Ranking {
    fn build(
        adapter: AdapterId,
        engines: &[UpstreamId],
        max_len: usize,
    ) -> Self {
        let mut scored: Vec<(u64, UpstreamId)> = engines
            .iter()
            .map(|&engine| (score(adapter, engine), engine))
            .collect();
        if scored.len() > max_len {
            scored.select_nth_unstable_by(max_len - 1, |a, b| b.cmp(a));
            scored.truncate(max_len);
        }
        scored.sort_unstable_by(|a, b| b.cmp(a));
        Self {
            engines: scored.into_iter().map(|(_, engine)| engine).collect(),
            max_len,
            ..Self::default()
        }
    }

    fn insert(
        &mut self,
        adapter: AdapterId,
        engine: UpstreamId,
    ) {
        let rank = |engine: UpstreamId| (score(adapter, engine), engine);
        let own_rank = rank(engine);
        let at = self
            .engines
            .partition_point(|&other| rank(other) > own_rank);
        if at < self.max_len && self.engines.get(at) != Some(&engine) {
            self.engines.insert(at, engine);
            self.engines.truncate(self.max_len);
        }
    }
}

fn score(
    adapter: AdapterId,
    engine: UpstreamId,
) -> u64 {
    rendezvous_hash(u64::from(adapter.0), u64::from(engine.0))
}
