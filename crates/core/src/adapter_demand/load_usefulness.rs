use crate::{
    clock::Millis,
    decaying_sum::DecayingSum,
    ids::{AdapterVersion, UpstreamId},
};

/// How long a copy loaded ahead of demand may be without a request.
const USE_TIMEOUT: Millis = Millis(2_000);
/// Bound on the copies whose first request is awaited.
const MAX_AWAITED: usize = 256;
/// Half-life of the counts that the brake compares.
const BRAKE_HALF_LIFE: Millis = Millis(3_000);
/// Share of loads in vain above which no more are ordered ahead of demand.
const MAX_VAIN_SHARE: f64 = 0.2;
/// Recent loads below which their share in vain says nothing.
const MIN_JUDGED: f64 = 4.0;
/// Copies that may be awaited for each recent one that was judged, and at least.
const AWAITED_PER_JUDGED: f64 = 3.0;
const MIN_AWAITED: f64 = 8.0;

/// A copy loaded ahead of demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedCopy {
    /// Engine that loads it.
    pub upstream: UpstreamId,
    /// Adapter version that is loaded.
    pub adapter: AdapterVersion,
    /// When the load was ordered.
    pub ordered_at: Millis,
}

/// Counts loads ahead of demand and those for which no request came, and stops them while too many are in vain.
#[derive(Clone, Debug, Default)]
pub struct LoadUsefulness {
    awaited: Vec<PlannedCopy>,
    judged: DecayingSum,
    vain: DecayingSum,
    /// Loads ordered by demand so far, ahead of it or for a queue.
    pub planned: u64,
    /// Loads ahead of demand so far for which no request came.
    pub in_vain: u64,
}

impl LoadUsefulness {
    /// Records a load ahead of demand.
    pub fn note_ahead(
        &mut self,
        copy: PlannedCopy,
    ) {
        if self.awaited.len() < MAX_AWAITED {
            self.awaited.push(copy);
        }
    }

    /// Whether loads may be ordered ahead of demand: their results are known and few were in vain.
    pub fn allows(
        &self,
        now: Millis,
    ) -> bool {
        let judged = self.judged.get(now, BRAKE_HALF_LIFE);
        let vain = self.vain.get(now, BRAKE_HALF_LIFE);
        let max_awaited = (judged * AWAITED_PER_JUDGED).clamp(MIN_AWAITED, MAX_AWAITED as f64);
        (self.awaited.len() as f64) < max_awaited
            && (judged < MIN_JUDGED || vain <= judged * MAX_VAIN_SHARE)
    }

    /// Judges the awaited copies; `is_used` tells whether a copy has had a request, `None` if it is gone.
    pub fn review<F>(
        &mut self,
        now: Millis,
        is_used: F,
    ) where
        F: Fn(&PlannedCopy) -> Option<bool>,
    {
        let Self {
            awaited,
            judged,
            vain,
            in_vain,
            ..
        } = self;
        awaited.retain(|copy| {
            let was_used = match is_used(copy) {
                Some(true) => true,
                Some(false) if now.since(copy.ordered_at) < USE_TIMEOUT => return true,
                _ => false,
            };
            judged.add(1.0, now, BRAKE_HALF_LIFE);
            if !was_used {
                vain.add(1.0, now, BRAKE_HALF_LIFE);
                *in_vain += 1;
            }
            false
        });
    }
}
