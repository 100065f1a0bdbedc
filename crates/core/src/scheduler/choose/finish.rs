//! When a call is expected to finish at an upstream, by the work that is left there.

use {
    super::SelectionContext,
    crate::scheduler::{expected_cost::ExpectedCost, upstream::Upstream},
};

/// Expected time until a slot is free up to which a call is sent ahead of it, at least.
///
/// The scheduler learns some 8 ms late that a slot is free, or later when it is behind. A call that is sent ahead can't
/// go elsewhere any more.
const MIN_SLOT_WAIT_MS: f64 = 16.0;
/// The same as a multiple of how long slots stay idle.
const SLOT_WAIT_FACTOR: f64 = 2.0;
/// Part of the work that is left at an upstream, over its slots, that counts for a call that gets a
/// slot at once: less room is left there for the next calls.
const LEFT_WORK_PART: f64 = 0.1;

impl SelectionContext<'_> {
    /// Expected time until a call has finished at an upstream, in milliseconds.
    pub(super) fn call_time_ms(
        &self,
        up: &Upstream,
    ) -> f64 {
        let Some(ExpectedCost { work, .. }) = self.expected else {
            return up.call_time(self.now);
        };
        let slots = up.slots.max(1);
        let left = up.work.remaining(self.now) / f64::from(slots) * LEFT_WORK_PART;
        let waits = up.work.slot_wait(slots, self.now);
        (waits + left + work.mean_ms) * up.work_factor(self.now)
    }

    /// Whether a call may be sent to an upstream now.
    pub(super) fn has_call_slot(
        &self,
        up: &Upstream,
    ) -> bool {
        let is_free_soon = || {
            let wait = up.work.slot_wait(up.slots, self.now) * up.work_factor(self.now);
            let idle_ms = self.fleet.slot_turnover(up.service).idle_ms();
            let max_wait = (idle_ms * SLOT_WAIT_FACTOR).max(MIN_SLOT_WAIT_MS);
            up.running < up.slots || wait <= max_wait
        };
        up.running < self.fleet.call_capacity(up) && (self.expected.is_none() || is_free_soon())
    }

    /// Requests that run on an engine, each by the part of this request's time for which it is
    /// expected to run beside it.
    pub(super) fn running_beside(
        &self,
        up: &Upstream,
    ) -> f64 {
        self.expected
            .map_or(f64::from(up.running), |ExpectedCost { work, .. }| {
                up.work.overlap(work.mean_ms, self.now)
            })
    }
}
