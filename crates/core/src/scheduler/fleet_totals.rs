use {
    super::upstream::Upstream,
    crate::{clock::Millis, ids::ServiceId},
    std::collections::HashMap,
};

/// Upstreams that are summed up in a millisecond at most: sums over fewer are always up to date, those over thousands
/// some ten milliseconds old.
const SUMMED_PER_MS: u64 = 64;

/// Sums over all upstreams that decisions need, which are too many to be summed up for each of them.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetTotals {
    at: Option<Millis>,
    /// Upstreams with models.
    pub engines: usize,
    /// Adapters on their way from the adapter store.
    pub coming_cold: usize,
    /// When the next engine's report is wanted.
    pub next_report: Option<Millis>,
    /// When the next adapter that is on its way is expected.
    pub next_load: Option<Millis>,
    /// Whether engines don't know yet how fast those of their service read.
    pub lines_changed: bool,
    capacity: HashMap<ServiceId, f64>,
}

impl FleetTotals {
    /// The sums over upstreams now.
    pub(super) fn of<'a, I>(
        upstreams: I,
        now: Millis,
    ) -> Self
    where
        I: Iterator<Item = &'a Upstream>,
    {
        let mut totals = Self {
            at: Some(now),
            ..Self::default()
        };
        for up in upstreams {
            totals.add(up, now);
        }
        totals
    }

    fn add(
        &mut self,
        up: &Upstream,
        now: Millis,
    ) {
        if up.is_ready {
            *self.capacity.entry(up.service).or_default() += up.capacity();
        }
        let Some(engine) = &up.engine else {
            return;
        };
        self.engines += 1;
        self.coming_cold += engine.coming_cold(now);
        let loads = engine
            .places
            .iter()
            .filter_map(|place| place.wait(now))
            .filter(|&wait| wait > Millis::ZERO)
            .map(|wait| now + wait);
        self.next_load = self.next_load.into_iter().chain(loads).min();
        self.next_report = self
            .next_report
            .into_iter()
            .chain(engine.report_due())
            .min();
    }

    /// Whether they are to be worked out anew.
    pub(super) fn is_due(
        &self,
        upstreams: usize,
        now: Millis,
    ) -> bool {
        self.at.is_none_or(|at| now >= at + Self::pause(upstreams))
    }

    /// How long they stand for so many upstreams.
    pub(super) const fn pause(upstreams: usize) -> Millis {
        Millis(upstreams as u64 / SUMMED_PER_MS)
    }

    /// Work of a service that its upstreams do in a millisecond: tokens of prompts, or calls.
    pub(super) fn capacity(
        &self,
        service: ServiceId,
    ) -> f64 {
        self.capacity.get(&service).copied().unwrap_or_default()
    }
}
