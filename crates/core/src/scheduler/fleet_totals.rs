use {
    super::upstream::Upstream,
    crate::{clock::Millis, ids::ServiceId},
    std::collections::HashMap,
};

/// Upstreams per millisecond of refresh interval, which bounds the time spent on the totals.
///
/// Totals over fewer are always current, those over thousands some ten milliseconds old.
const UPSTREAMS_PER_MS: u64 = 64;

/// Totals over all upstreams, cached because recomputing them for each decision is too slow.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetTotals {
    updated_at: Option<Millis>,
    /// Number of engines.
    pub engines: usize,
    /// Number of adapters being loaded from the adapter store.
    pub cold_loads: usize,
    /// When the next engine report is due.
    pub next_report: Option<Millis>,
    /// When the next adapter load is expected to finish.
    pub next_load: Option<Millis>,
    /// Whether prefill time models have changed since they were copied to the engines.
    pub prefill_times_changed: bool,
    capacity: HashMap<ServiceId, f64>,
}

impl FleetTotals {
    /// Computes the totals.
    pub(super) fn of<'a, I>(
        upstreams: I,
        now: Millis,
    ) -> Self
    where
        I: Iterator<Item = &'a Upstream>,
    {
        let mut totals = Self {
            updated_at: Some(now),
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
        if up.accepts_requests(now) {
            *self.capacity.entry(up.service).or_default() += up.capacity(now);
        }
        let Some(engine) = &up.engine else {
            return;
        };
        self.engines += 1;
        self.cold_loads += engine.cold_loads(now);
        let loads = engine
            .residents
            .iter()
            .filter_map(|resident| resident.wait(now))
            .filter(|&wait| wait > Millis::ZERO)
            .map(|wait| now + wait);
        self.next_load = self.next_load.into_iter().chain(loads).min();
        self.next_report = self
            .next_report
            .into_iter()
            .chain(engine.report_due())
            .min();
    }

    /// Whether the totals must be recomputed.
    pub(super) fn is_due(
        &self,
        upstreams: usize,
        now: Millis,
    ) -> bool {
        self.updated_at
            .is_none_or(|updated_at| now >= updated_at + Self::refresh_interval(upstreams))
    }

    /// Interval at which the totals are recomputed; grows with the number of upstreams.
    pub(super) const fn refresh_interval(upstreams: usize) -> Millis {
        Millis(upstreams as u64 / UPSTREAMS_PER_MS)
    }

    /// Throughput of a service per millisecond: prompt tokens on engines, otherwise calls.
    pub(super) fn capacity(
        &self,
        service: ServiceId,
    ) -> f64 {
        self.capacity.get(&service).copied().unwrap_or_default()
    }
}
