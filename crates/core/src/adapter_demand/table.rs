use {
    super::{DemandRate, Trend},
    crate::{
        clock::Millis,
        ids::{AdapterId, ModelId, ServiceId},
    },
    std::collections::HashMap,
};

/// Bound on the adapters whose rates are kept.
const MAX_ADAPTERS: usize = 16_384;
/// Part of a full table that is removed at once, those with the lowest rates.
const REMOVED_PART: usize = 8;
/// Bound on the adapters that are remembered as requested since the last planning step.
const MAX_REQUESTED: usize = 256;
/// Part of the time of its engines that one adapter's prompts may take.
///
/// An engine serves other adapters too, and its unread prompts may take no longer than a short backlog.
const MAX_ENGINE_SHARE: f64 = 0.5;
/// Excess over a number of copies that doesn't call for one more.
const COPY_TOLERANCE: f64 = 0.3;
/// Value of a copy beyond those wanted, as a part of its share of the rate.
const SURPLUS_VALUE: f64 = 0.1;

/// An adapter requested since the last planning step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedAdapter {
    /// Service of the requests.
    pub service: ServiceId,
    /// Base model of the adapter.
    pub model: ModelId,
    /// The adapter.
    pub adapter: AdapterId,
}

/// Rate and copies of each adapter.
///
/// It counts requests on arrival and not when they are sent: those that wait for a copy are the ones that call for it.
#[derive(Clone, Debug, Default)]
pub struct AdapterDemand {
    rates: HashMap<AdapterId, DemandRate>,
    /// When counting began.
    since: Millis,
    /// Engines that hold or are loading each adapter.
    copies: HashMap<AdapterId, u32>,
    requested: Vec<RequestedAdapter>,
}

impl AdapterDemand {
    /// Records the arrival of a request.
    pub fn note(
        &mut self,
        service: ServiceId,
        model: ModelId,
        adapter: AdapterId,
        now: Millis,
    ) {
        if self.rates.is_empty() {
            self.since = now;
        }
        if self.rates.len() >= MAX_ADAPTERS && !self.rates.contains_key(&adapter) {
            self.remove_lowest(now);
        }
        self.rates.entry(adapter).or_default().note(now);
        let requested = RequestedAdapter {
            service,
            model,
            adapter,
        };
        if self.requested.len() < MAX_REQUESTED && !self.requested.contains(&requested) {
            self.requested.push(requested);
        }
    }

    /// Adapters requested since the last call.
    pub fn take_requested(&mut self) -> Vec<RequestedAdapter> {
        std::mem::take(&mut self.requested)
    }

    /// Replaces the numbers of copies.
    pub fn set_copies<I>(
        &mut self,
        held: I,
    ) where
        I: Iterator<Item = AdapterId>,
    {
        self.copies.clear();
        for adapter in held {
            self.note_copy(adapter);
        }
    }

    /// Counts one more copy.
    pub fn note_copy(
        &mut self,
        adapter: AdapterId,
    ) {
        *self.copies.entry(adapter).or_default() += 1;
    }

    /// Number of engines that hold or are loading an adapter.
    pub fn copies(
        &self,
        adapter: AdapterId,
    ) -> u32 {
        self.copies.get(&adapter).copied().unwrap_or_default()
    }

    /// Number of copies of all adapters.
    pub fn total_copies(&self) -> u64 {
        self.copies.values().map(|&copies| u64::from(copies)).sum()
    }

    /// Number of adapters whose rates are kept.
    pub fn known_adapters(&self) -> usize {
        self.rates.len()
    }

    /// Expected requests per second for an adapter.
    pub fn rate(
        &self,
        adapter: AdapterId,
        now: Millis,
    ) -> f64 {
        let rate = self.rates.get(&adapter);
        rate.map_or(0.0, |rate| rate.expected(self.since, now))
    }

    /// Whether requests for an adapter become more or fewer.
    pub fn trend(
        &self,
        adapter: AdapterId,
        now: Millis,
    ) -> Trend {
        let rate = self.rates.get(&adapter);
        rate.map_or(Trend::Steady, |rate| rate.trend(self.since, now))
    }

    /// Number of copies that the expected requests for an adapter keep busy, at least one;
    /// `work_ms` is the time of a request on an engine of usual speed.
    pub fn copies_wanted(
        &self,
        adapter: AdapterId,
        work_ms: f64,
        now: Millis,
    ) -> u32 {
        let busy = self.rate(adapter, now) * work_ms / 1_000.0;
        (busy / MAX_ENGINE_SHARE - COPY_TOLERANCE).ceil().max(1.0) as u32
    }

    /// Requests per second that a copy serves, which is what its eviction costs; little for a copy
    /// beyond those wanted, so that it goes before the only copy of another adapter.
    pub fn copy_value(
        &self,
        adapter: AdapterId,
        work_ms: f64,
        now: Millis,
    ) -> f64 {
        let copies = self.copies(adapter).max(1);
        let share = self.rate(adapter, now) / f64::from(copies);
        if copies > self.copies_wanted(adapter, work_ms, now) {
            share * SURPLUS_VALUE
        } else {
            share
        }
    }

    fn remove_lowest(
        &mut self,
        now: Millis,
    ) {
        let since = self.since;
        let expected = |rate: &DemandRate| rate.expected(since, now);
        let mut rates: Vec<f64> = self.rates.values().map(expected).collect();
        let (_, &mut limit, _) =
            rates.select_nth_unstable_by(MAX_ADAPTERS / REMOVED_PART, f64::total_cmp);
        self.rates.retain(|_, rate| expected(rate) > limit);
    }
}
