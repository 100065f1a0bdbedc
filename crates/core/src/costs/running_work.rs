use {
    super::CostEstimate,
    crate::{clock::Millis, ids::RequestId},
};

/// Conditional mean of the remaining work of a request that has run for as long as expected, in
/// standard deviations, as of a log-normal distribution.
const OVERDUE_DEVIATIONS: f64 = 0.92;
/// Growth of that mean per millisecond beyond, for a deviation as large as the mean; it grows with the
/// square of the deviation.
const OVERDUE_GROWTH: f64 = 0.24;
/// Shortest remaining work of a running request, in milliseconds.
const MIN_REMAINING_MS: f64 = 1.0;

/// A request that is assigned to an upstream and has not ended.
#[derive(Clone, Copy, Debug)]
struct RunningCost {
    request: RequestId,
    /// When work on it began; `None` while it waits there.
    started_at: Option<Millis>,
    /// Expected work, in milliseconds.
    mean_ms: f64,
    /// Remaining work once it has run for the mean, in milliseconds.
    at_mean_ms: f64,
    /// Change of the remaining work per millisecond until then, and after it.
    change_before: f64,
    change_after: f64,
}

impl RunningCost {
    fn new(
        request: RequestId,
        estimate: CostEstimate,
        started_at: Option<Millis>,
    ) -> Self {
        let mean_ms = estimate.mean_ms.max(MIN_REMAINING_MS);
        let at_mean_ms = estimate.deviation_ms * OVERDUE_DEVIATIONS;
        let relative = estimate.deviation_ms / mean_ms;
        Self {
            request,
            started_at,
            mean_ms,
            at_mean_ms,
            change_before: at_mean_ms / mean_ms - 1.0,
            change_after: OVERDUE_GROWTH * (relative * relative).min(1.0),
        }
    }

    /// The mean of the work that is left, given how long it has run; close to that of a log-normal
    /// distribution.
    fn remaining(
        &self,
        now: Millis,
    ) -> f64 {
        let Some(started_at) = self.started_at else {
            return self.mean_ms;
        };
        let spent = now.since(started_at).0 as f64;
        let remaining = if spent < self.mean_ms {
            self.mean_ms + self.change_before * spent
        } else {
            self.at_mean_ms + self.change_after * (spent - self.mean_ms)
        };
        remaining.max(MIN_REMAINING_MS)
    }
}

/// The work that is left of the requests at one upstream, in the order in which they were assigned.
#[derive(Clone, Debug, Default)]
pub struct RunningWork {
    running: Vec<RunningCost>,
}

impl RunningWork {
    /// Adds a request; work on it starts at once if fewer than `slots` requests run, if given.
    pub fn add(
        &mut self,
        request: RequestId,
        estimate: CostEstimate,
        slots: Option<u32>,
        now: Millis,
    ) {
        let has_slot = slots.is_some_and(|slots| self.running.len() < slots as usize);
        let started_at = has_slot.then_some(now);
        self.running
            .push(RunningCost::new(request, estimate, started_at));
    }

    /// Records that work on a request has begun.
    pub fn start(
        &mut self,
        request: RequestId,
        now: Millis,
    ) {
        let mut running = self.running.iter_mut();
        if let Some(running) = running.find(|running| running.request == request) {
            running.started_at.get_or_insert(now);
        }
    }

    /// Removes a request; returns when work on it began, if it had.
    ///
    /// With `slots` given, the first request that waits takes its slot.
    pub fn remove(
        &mut self,
        request: RequestId,
        slots: Option<u32>,
        now: Millis,
    ) -> Option<Millis> {
        let at = self
            .running
            .iter()
            .position(|running| running.request == request)?;
        let removed = self.running.remove(at);
        let slots = slots.unwrap_or_default() as usize;
        for next in self.running.iter_mut().take(slots) {
            next.started_at.get_or_insert(now);
        }
        removed.started_at
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Whether there is no request.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// The work that is left of all requests, in milliseconds.
    pub fn remaining(
        &self,
        now: Millis,
    ) -> f64 {
        self.running.iter().map(|cost| cost.remaining(now)).sum()
    }

    /// Expected time until one of `slots` is free for a further request, in milliseconds.
    ///
    /// The requests that run end at the sum of the rates at which each is expected to end.
    pub fn slot_wait(
        &self,
        slots: u32,
        now: Millis,
    ) -> f64 {
        let slots = slots.max(1) as usize;
        let Some(waiting) = (self.running.len() + 1)
            .checked_sub(slots)
            .filter(|&waiting| waiting > 0)
        else {
            return 0.0;
        };
        let ends_per_ms: f64 = self
            .running
            .iter()
            .take(slots)
            .map(|cost| 1.0 / cost.remaining(now))
            .sum();
        waiting as f64 / ends_per_ms
    }

    /// Requests expected to run beside one whose work is `work_ms`, each by the part of that time.
    pub fn overlap(
        &self,
        work_ms: f64,
        now: Millis,
    ) -> f64 {
        let work_ms = work_ms.max(MIN_REMAINING_MS);
        let beside = self.running.iter();
        let beside = beside.map(|cost| cost.remaining(now).min(work_ms));
        beside.sum::<f64>() / work_ms
    }
}
