use {
    super::{CrashCandidates, crash::Crash},
    crate::{clock::Millis, ids::PartId},
    std::collections::BTreeSet,
};

/// Parts that are refused where a prompt has them all.
pub type PartSet = BTreeSet<PartId>;

/// The text form of several parts.
pub fn join_parts<'a, I>(
    parts: I,
    separator: &str,
) -> String
where
    I: IntoIterator<Item = &'a PartId>,
{
    let texts: Vec<String> = parts.into_iter().map(PartId::to_string).collect();
    texts.join(separator)
}

/// Parts in quarantine: one, or several that crashes haven't told apart yet.
#[derive(Clone, Debug)]
pub(super) struct Verdict {
    pub parts: PartSet,
    pub since: Millis,
    probes: ProbeTimes,
    /// Of a part that was sound and that several crashing ones may only share.
    shared_probes: ProbeTimes,
    /// When it may next be checked whether a request shows that the part is only common to several crashing ones.
    check_at: Millis,
    /// When the crash came after which the parts had to be known, also once its evidence is gone.
    known_at: Option<Millis>,
    /// Most crashes that are known to have come long after that one.
    late_crashes: usize,
}

/// When requests with a part may show that it is sound again, each time twice as much later.
#[derive(Clone, Copy, Debug)]
struct ProbeTimes {
    next_at: Millis,
    interval: Millis,
}

impl ProbeTimes {
    fn new(
        since: Millis,
        interval: Millis,
    ) -> Self {
        Self {
            next_at: since + interval,
            interval,
        }
    }

    fn take(
        &mut self,
        now: Millis,
    ) -> bool {
        if now < self.next_at {
            return false;
        }
        self.interval = Millis(self.interval.0 * 2).min(MAX_PROBE_INTERVAL);
        self.next_at = now + self.interval;
        true
    }
}

/// Time until the first probe of a part that was sound before.
const PROBE_INTERVAL: Millis = Millis(60_000);
/// The same where several crashing parts may only share it.
const SHARED_PROBE_INTERVAL: Millis = Millis(1_200);
/// Time between requests that may show that a part is only common to several crashing ones.
const CHECK_INTERVAL: Millis = Millis(600);
/// Time until the first of these that is sent though its part has crashed as many upstreams as it may.
const MIN_LATE_PROBE_AGE: Millis = Millis(180_000);
const MAX_PROBE_INTERVAL: Millis = Millis(3_600_000);

impl Verdict {
    pub(super) fn new(
        parts: PartSet,
        since: Millis,
    ) -> Self {
        Self {
            parts,
            since,
            probes: ProbeTimes::new(since, PROBE_INTERVAL),
            shared_probes: ProbeTimes::new(since, SHARED_PROBE_INTERVAL),
            check_at: since + CHECK_INTERVAL,
            known_at: None,
            late_crashes: 0,
        }
    }

    /// Records the crash after which the parts had to be known, unless an earlier one is.
    pub(super) fn note_known(
        &mut self,
        at: Option<Millis>,
    ) -> Option<Millis> {
        self.known_at = self.known_at.or(at);
        self.known_at
    }

    /// Records how many crashes came long after that one; returns the most that were known at any time.
    pub(super) fn note_late_crashes(
        &mut self,
        count: usize,
    ) -> usize {
        self.late_crashes = self.late_crashes.max(count);
        self.late_crashes
    }

    /// Whether a request may show now that the part is sound again; the next one may so much later.
    pub(super) fn take_probe(
        &mut self,
        now: Millis,
    ) -> bool {
        self.probes.take(now)
    }

    /// The same for a part that was sound before and may only be common to several crashing ones.
    pub(super) fn take_shared_probe(
        &mut self,
        now: Millis,
    ) -> bool {
        self.shared_probes.take(now)
    }

    /// The same for a part that may only be common to several crashing ones, once it has crashed as many as it may.
    pub(super) fn take_late_probe(
        &mut self,
        now: Millis,
    ) -> bool {
        now.since(self.since) >= MIN_LATE_PROBE_AGE && self.take_probe(now)
    }

    /// Whether a request may be checked for whether it shows that the part is only common to several crashing ones.
    pub(super) fn is_check_due(
        &self,
        now: Millis,
    ) -> bool {
        now >= self.check_at
    }

    /// Records that one was checked.
    pub(super) fn delay_check(
        &mut self,
        now: Millis,
    ) {
        self.check_at = now + CHECK_INTERVAL;
    }

    /// Whether a crash accuses all of the parts in one prompt.
    pub(super) fn explains(
        &self,
        crash: &Crash,
    ) -> bool {
        crash.accuses_together(&self.parts)
    }

    /// Whether it is about a request as a whole.
    pub(super) fn is_of_request(&self) -> bool {
        self.parts.iter().any(|part| part.is_request())
    }

    /// Whether a request is refused.
    pub(super) fn applies_to(
        &self,
        candidates: CrashCandidates<'_>,
    ) -> bool {
        self.parts.iter().all(|&part| candidates.contains(part))
    }
}
