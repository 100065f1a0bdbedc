use crate::clock::Millis;

/// Weight of one call in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Slots per additional call that is sent ahead even where ends are told at once.
const SLOTS_PER_QUEUED_CALL: u32 = 3;
/// The most calls that are assigned to an upstream, as a multiple of its slots.
const MAX_ASSIGNED_PER_SLOT: u32 = 3;

/// How long the slots of a service's upstreams would stay idle between two calls.
///
/// A slot that is free stays idle until the scheduler has learned of it and the next call has come. A scheduler that is
/// behind learns of it late, and sends more calls ahead, which queue at the upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotTurnover {
    /// Moving averages of how long a call is assigned without being at its upstream, and of how long it is there, in
    /// milliseconds; `None` without a sample.
    averages: Option<(f64, f64)>,
}

impl SlotTurnover {
    /// Records a call that was assigned for `assigned`, of which it took `took` at its upstream.
    pub(super) fn note(
        &mut self,
        assigned: Millis,
        took: Millis,
    ) {
        let (idle, took) = (assigned.since(took).0 as f64, took.0 as f64);
        let (idle_before, took_before) = self.averages.unwrap_or((idle, took));
        self.averages = Some((
            idle_before + (idle - idle_before) * SAMPLE_WEIGHT,
            took_before + (took - took_before) * SAMPLE_WEIGHT,
        ));
    }

    /// How long a slot stays idle after a call, in milliseconds.
    pub(super) fn idle_ms(self) -> f64 {
        self.averages.map_or(0.0, |(idle, _)| idle)
    }

    /// Number of assigned calls that keep this many slots busy.
    pub(super) fn assigned_calls(
        self,
        slots: u32,
    ) -> u32 {
        let least = slots + slots.div_ceil(SLOTS_PER_QUEUED_CALL);
        let idle_part = self
            .averages
            .map_or(0.0, |(idle, took)| idle / took.max(1.0));
        let needed = (f64::from(slots) * (1.0 + idle_part)).ceil() as u32;
        needed.clamp(least, least.max(slots * MAX_ASSIGNED_PER_SLOT))
    }
}
