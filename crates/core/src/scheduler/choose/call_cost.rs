//! Expected time of calls, in milliseconds.

use {
    super::{SelectionContext, cost::LATER_PART},
    crate::{
        clock::Millis,
        scheduler::{Job, expected_cost::ExpectedCost, upstream::Upstream},
    },
};

/// Age up to which a report of running and waiting requests counts; it counts less as it ages.
const MAX_REPORT_AGE: Millis = Millis(500);
/// Part of a call's time that is added at an upstream whose slots are all taken; it grows from none.
///
/// The pace may change before the call ends, and ends are reported late. With 0.2, calls to upstreams that switch between paces took 1.07 times as long
/// as before where none report (load 0.4).
const FILL_PART: f64 = 1.0;

impl SelectionContext<'_> {
    /// Whether requests like this one are placed by their expected finish.
    pub(super) fn is_placed_by_finish(
        &self,
        job: &Job,
    ) -> bool {
        let hard_load = self.settings.hard_load;
        self.fleet
            .is_active(hard_load.expected_finish, job.service, hard_load)
    }

    /// Expected time of a call at an upstream, with the wait for a slot there.
    pub(super) fn call_time(
        &self,
        job: &Job,
        up: &Upstream,
    ) -> f64 {
        match up.statements.forecast {
            Some(forecast) if self.is_placed_by_finish(job) => {
                let slots = f64::from(up.slots.max(1));
                let foreign = foreign_requests(up, self.now);
                let running = f64::from(up.running) + foreign;
                let usual = self.fleet.usual_call_ms(job.service);
                let fill = (running / slots).min(1.0) * FILL_PART;
                let (own, wait) = match self.expected {
                    Some(ExpectedCost { work, .. }) => {
                        let own_calls = up.work.slot_wait(up.slots, self.now);
                        (work.mean_ms, own_calls + foreign / slots * usual)
                    }
                    None => (usual, (running + 1.0 - slots).max(0.0) / slots * usual),
                };
                forecast.factor(self.now) * (own + wait * (1.0 + LATER_PART) + usual * fill)
            }
            _ => self.call_time_ms(up),
        }
    }
}

/// Requests of others at an upstream, by its newest report.
fn foreign_requests(
    up: &Upstream,
    now: Millis,
) -> f64 {
    let newest = up.statements.pace.newest();
    newest.map_or(0.0, |newest| {
        let age = now.since(newest.heard_at).min(MAX_REPORT_AGE);
        f64::from(up.foreign_requests) * (1.0 - age.0 as f64 / MAX_REPORT_AGE.0 as f64)
    })
}
