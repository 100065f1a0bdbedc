//! Read-only queries about the scheduler's state.

use {
    super::{ORPHAN_TIMEOUT, Scheduler},
    crate::{
        clock::Millis,
        ids::{BuildId, ServiceId, UpstreamId},
        placement::rendezvous_hash,
        scheduler::{
            AttemptId, LOCAL_VM, PaceSummary, WaitTimes, WaitingAges, Work, running::Stage,
            upstream::Upstream,
        },
    },
    std::collections::HashMap,
};

/// Longest time between two ticks while requests are queued.
const REEVALUATION_INTERVAL: Millis = Millis(50);

impl Scheduler {
    /// The latest time for the next call of [`Self::tick`].
    pub fn wake_at(
        &self,
        now: Millis,
    ) -> Millis {
        let idle = now + ORPHAN_TIMEOUT;
        let totals = &self.fleet.totals;
        let next_check = self.engines_checked_at + self.engine_check_interval();
        let report = totals.next_report.filter(|_| self.can_order);
        let report = report.map(|at| at.max(next_check));
        let soonest = report
            .into_iter()
            .chain(self.next_evacuation_at)
            .chain(self.quarantine.due().filter(|_| !self.is_following))
            .fold(idle, Millis::min);
        if self.queue.is_empty() {
            return soonest.max(now + Millis(1));
        }
        totals
            .next_load
            .into_iter()
            .chain(self.queue.next_deadline())
            .fold(soonest.min(now + REEVALUATION_INTERVAL), Millis::min)
            .max(self.next_pass_at)
            .max(now + Millis(1))
    }

    /// Whether callers contend for capacity, or upstreams of any service report their pace.
    pub fn is_hard_load(&self) -> bool {
        self.settings.hard_load.contended || !self.fleet.pace_reporters.is_empty()
    }

    /// Number of queued requests.
    pub fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// How long the oldest queued requests have waited.
    pub fn waiting_ages(
        &self,
        now: Millis,
    ) -> WaitingAges {
        let waiting = self.entries.values();
        let waiting = waiting.filter(|entry| entry.stage == Stage::Waiting);
        waiting.fold(WaitingAges::default(), |mut ages, entry| {
            let oldest = match entry.job.work {
                Work::Call => &mut ages.call,
                Work::Generation(_) => &mut ages.generation,
            };
            *oldest = entry.waiting_age(now).max(*oldest);
            ages
        })
    }

    /// Number of assigned requests that have not ended.
    pub fn running_len(&self) -> usize {
        self.entries.len() - self.queue.len()
    }

    /// Some upstreams that show whether this VM's links work, with their services, and how many are
    /// known: available ones of each service in turn, as all upstreams of one may have crashed; first
    /// engines, whose reports don't wait for a slot.
    pub fn upstreams_to_probe(
        &self,
        salt: u64,
        count: usize,
        now: Millis,
    ) -> (Vec<(UpstreamId, ServiceId)>, usize) {
        let upstreams = self.fleet.upstreams.values();
        let wants_none = |up: &&Upstream| up.statements.rests.left(LOCAL_VM, now) > Millis::ZERO;
        let mut candidates: Vec<_> = upstreams
            .filter(|up| up.is_available() && !wants_none(up))
            .collect();
        candidates.sort_by_key(|up| (up.engine.is_none(), rendezvous_hash(salt, up.id_hash)));
        let known = candidates.len();
        let mut counts: HashMap<ServiceId, usize> = HashMap::new();
        let mut ranked: Vec<(usize, &Upstream)> = candidates
            .into_iter()
            .map(|up| {
                let rank = counts.entry(up.service).or_default();
                *rank += 1;
                (*rank, up)
            })
            .collect();
        ranked.sort_by_key(|&(rank, _)| rank);
        let chosen = ranked.iter().take(count).map(|(_, up)| up);
        (chosen.map(|up| (up.id, up.service)).collect(), known)
    }

    /// The upstream that a request was assigned to and has not ended at.
    pub fn upstream_of(
        &self,
        attempt_id: AttemptId,
    ) -> Option<UpstreamId> {
        let request = self.by_attempt_id.get(&attempt_id)?;
        match self.entries.get(request)?.stage {
            Stage::Running { upstream, .. } => Some(upstream),
            Stage::Waiting => None,
        }
    }

    /// The build of an upstream; `None` if its entry, or that of its latest run, hasn't been read.
    pub fn build_of(
        &self,
        id: UpstreamId,
    ) -> Option<BuildId> {
        self.fleet.upstreams.get(&id)?.confirmed_build()
    }

    /// The only build of which a service has had upstreams lately; `None` if there were several, or
    /// there are none now.
    pub fn only_build(
        &self,
        service: ServiceId,
        now: Millis,
    ) -> Option<BuildId> {
        self.fleet.only_build(service, now)
    }

    /// How many queued requests passes have scanned so far, each one as often as it was.
    pub const fn scanned(&self) -> u64 {
        self.scanned
    }

    /// Number of evaluations of queued requests so far; they make up most of the scheduler's CPU
    /// time.
    pub const fn evaluations(&self) -> u64 {
        self.evaluations
    }

    /// Total waiting time of requests that have left the queue, by reason.
    pub const fn waits(&self) -> &WaitTimes {
        &self.waits
    }

    /// How fast upstreams work, and how old the reports were by which requests were assigned.
    pub fn pace_summary(
        &self,
        now: Millis,
    ) -> PaceSummary {
        self.fleet.pace_summary(now)
    }

    /// Whether a request is assigned and has not ended.
    pub fn is_running(
        &self,
        attempt_id: AttemptId,
    ) -> bool {
        let request = self.by_attempt_id.get(&attempt_id);
        let entry = request.and_then(|request| self.entries.get(request));
        entry.is_some_and(|entry| matches!(entry.stage, Stage::Running { .. }))
    }

    /// Whether it is known that an upstream may get no request of this VM's own callers: it accepts
    /// none, is evacuated, or wants rest from this VM.
    pub fn is_unusable(
        &self,
        id: UpstreamId,
        now: Millis,
    ) -> bool {
        match self.fleet.upstreams.get(&id) {
            None => self.fleet.departed.is_unusable(id, now),
            Some(upstream) => {
                let rests = &upstream.statements.rests;
                !upstream.accepts_requests(now) || rests.left(LOCAL_VM, now) > Millis::ZERO
            }
        }
    }

    /// Whether any upstream of the service accepts requests.
    pub fn has_upstream(
        &self,
        service: ServiceId,
    ) -> bool {
        self.fleet.ready(service).next().is_some()
    }
}
