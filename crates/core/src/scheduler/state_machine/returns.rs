//! Return times of refused callers.

use {
    super::{MIN_RETRY_AFTER, Scheduler, shedding::longest_return},
    crate::{
        clock::Millis,
        ids::ServiceId,
        overload::{Arrival, QueueClass},
        placement::rendezvous_hash,
        return_times::{ReturnCounts, ReturnPromise, ReturnRequest, Returning},
        scheduler::Job,
    },
};

impl Scheduler {
    /// The delay after which a refused caller is to come back; `None` where callers get no times of
    /// their own.
    pub(super) fn return_delay(
        &mut self,
        job: &Job,
        arrival: &Arrival,
        now: Millis,
    ) -> Option<Millis> {
        if !self.gives_return_times(job.service) {
            return None;
        }
        let promised = match self.returns.check(job.caller, now) {
            Returning::Early { due } => Some(due),
            Returning::Due | Returning::Newcomer => self.promise_return(job, arrival, now),
        };
        let delay = promised.map_or_else(|| spread_return(job, arrival), |due| due.since(now));
        Some(delay.max(MIN_RETRY_AFTER))
    }

    /// Takes over what VMs have told callers that an earlier scheduler had refused.
    pub fn add_promises(
        &mut self,
        promises: &[ReturnPromise],
        now: Millis,
    ) {
        for &promise in promises {
            let per_ms = self.fleet.capacity(promise.service) * MAX_TAKEN_OVER_SHARE;
            self.returns.take_over(promise, per_ms, now);
        }
    }

    /// Whether refused callers of a service get return times.
    pub fn gives_return_times(
        &self,
        service: ServiceId,
    ) -> bool {
        let settings = self.settings.hard_load;
        let is_active = |part| self.fleet.is_active(part, service, settings);
        is_active(settings.shedding) && is_active(settings.return_times)
    }

    /// How many return times were promised, and what became of them.
    pub const fn return_counts(&self) -> ReturnCounts {
        self.returns.counts()
    }

    /// Promises a return time; none without a scheduler, as others would promise the same capacity.
    fn promise_return(
        &mut self,
        job: &Job,
        arrival: &Arrival,
        now: Millis,
    ) -> Option<Millis> {
        if !self.can_order {
            return None;
        }
        let class = QueueClass::of(job.urgency(), false);
        let request = ReturnRequest {
            caller: job.caller,
            service: job.service,
            priority: class.priority(),
            work: arrival.work,
            earliest: now + MIN_RETRY_AFTER,
            on_time_until: self.latest_send_at(job),
            latest: now + longest_return(arrival),
        };
        let budget = self.overload.return_budget(job.service, class, now);
        self.returns.promise(&request, budget, now)
    }
}

/// Part of the capacity for promises of an earlier scheduler.
///
/// All of it, as a new scheduler starts from initial guesses of the speeds: by half of what it believed it kept 508 of
/// 1,000 promises.
const MAX_TAKEN_OVER_SHARE: f64 = 1.0;

/// A time of its own for a caller without a promise: late, when the load may have ended.
fn spread_return(
    job: &Job,
    arrival: &Arrival,
) -> Millis {
    let longest = longest_return(arrival).0;
    let part = rendezvous_hash(job.caller.0, longest) % (longest / 2 + 1);
    Millis(longest - part)
}
