//! Shedding by urgency: admission by the expected wait of a request's class, and its queue lane.

use {
    super::{MIN_RETRY_AFTER, Scheduler, admission::NO_ACCOUNT, decisions::LATE_POSTPONE_DELAY},
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::RequestId,
        overload::{
            Admission, Arrival, Lane, LanePart, QueueClass, QueuedWork, ShedRecord, WaitEstimate,
        },
        return_times::Returning,
        scheduler::{AttemptId, Job, SchedulerAction as Action},
    },
    std::collections::BTreeMap,
};

/// A late request gives up its place if its time is at least this many times the expected wait.
const DEMOTION_FACTOR: u64 = 2;
/// An admitted request that is late keeps its place for its time left divided by this.
const OVERDUE_DIVISOR: u64 = 2;

/// Refusals kept for the log until they are taken; most events cause none or one.
const MAX_SHED_RECORDS: usize = 64;

/// The lane of a request in the queue.
pub(super) const fn lane(
    job: &Job,
    queued: &QueuedWork,
) -> Lane {
    Lane {
        service: job.service,
        class: queued.class,
        part: queued.part,
    }
}

/// The work of a request, in the unit of its service's capacity.
fn work(job: &Job) -> f64 {
    job.generation()
        .map_or(1.0, |generation| f64::from(generation.size.prompt))
}

impl Scheduler {
    /// Refuses a request that is not expected to be served in its time; returns what it adds to the
    /// load of its service if requests are shed by urgency there.
    pub(super) fn check_wait(
        &mut self,
        attempt_id: AttemptId,
        job: &Job,
        now: Millis,
    ) -> Result<Option<QueuedWork>, Refusal> {
        let settings = self.settings.hard_load;
        if !self
            .fleet
            .is_active(settings.shedding, job.service, settings)
        {
            self.check_deadline(job, now)?;
            return Ok(None);
        }
        let arrival = self.arrival(job, now);
        let queued = |part| {
            Some(QueuedWork {
                class: arrival.class,
                account: arrival.account,
                work: arrival.work,
                part,
                is_overdue: false,
                competes: true,
            })
        };
        if job.has_begun {
            self.check_deadline(job, now)?;
            return Ok(queued(LanePart::OnTime));
        }
        let returning = self.returns.check(job.caller, now);
        if returning == Returning::Due && arrival.time_left > Millis::ZERO {
            self.returns.complete(job.caller);
            return Ok(queued(LanePart::Returned));
        }
        let nominal = self.fleet.capacity(job.service);
        match self.overload.admit(job.service, &arrival, nominal, now) {
            Admission::OnTime(_) => Ok(queued(LanePart::OnTime)),
            Admission::Late(_) => Ok(queued(LanePart::Late)),
            Admission::Refused(estimate) => {
                self.note_shed(ShedRecord {
                    attempt_id,
                    caller: job.caller,
                    service: job.service,
                    estimate,
                    waited_for: None,
                });
                Err(self.shed(job, &arrival, &estimate, now))
            }
        }
    }

    /// Records what a newly queued request adds to the load of its service, and until when it waits
    /// in its lane.
    pub(super) fn track_wait(
        &mut self,
        request: RequestId,
        queued_work: Option<QueuedWork>,
        now: Millis,
    ) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        entry.queued_work = queued_work;
        match queued_work.map(|queued| queued.part) {
            None | Some(LanePart::OnTime) => {}
            Some(LanePart::Returned) => {
                // It may be late already; its time to wait is a part of what its caller has left.
                let time_left = entry.job.deadline.since(now);
                entry.latest_send_at = now + Millis(time_left.0 / OVERDUE_DIVISOR);
                entry.queued_work = queued_work.map(|queued| QueuedWork {
                    is_overdue: true,
                    ..queued
                });
            }
            Some(LanePart::Late) => return,
        }
        self.on_time.insert((entry.latest_send_at, request));
    }

    /// Moves a queued request that can no longer be on time behind those of its class that can.
    ///
    /// If it would hardly be served there, it keeps its place for a part of its time, as it was
    /// admitted and its turn is near, and is refused after that.
    pub(super) fn demote_late(
        &mut self,
        request: RequestId,
        now: Millis,
    ) -> Option<Action> {
        let entry = self.entries.get(&request)?;
        let service = entry.job.service;
        let arrival = self.arrival(&entry.job, now);
        let estimate = self.overload.demoted_estimate(service, &arrival, now)?;
        let entry = self.entries.get_mut(&request)?;
        let queued = entry.queued_work.as_mut()?;
        if estimate.wait.0 * DEMOTION_FACTOR < arrival.time_left.0 {
            self.overload.note_late(service, queued);
            self.queue.postpone(request, LATE_POSTPONE_DELAY, now);
            return None;
        }
        if queued.is_overdue {
            let record = ShedRecord {
                attempt_id: entry.attempt_id,
                caller: entry.job.caller,
                service,
                estimate,
                waited_for: Some(entry.waited_for(now)),
            };
            let job = entry.job.clone();
            self.note_shed(record);
            let refusal = self.shed(&job, &arrival, &estimate, now);
            return self.refuse(request, refusal, now);
        }
        queued.is_overdue = true;
        entry.latest_send_at = now + Millis(arrival.time_left.0 / OVERDUE_DIVISOR);
        self.on_time.insert((entry.latest_send_at, request));
        None
    }

    /// Takes the refusals by urgency since the last call, at most [`MAX_SHED_RECORDS`].
    pub fn take_shed_records(&mut self) -> Vec<ShedRecord> {
        std::mem::take(&mut self.shed_records)
    }

    /// Number of queued requests by priority, where requests are ordered by urgency.
    pub fn waiting_by_priority(&self) -> BTreeMap<u8, usize> {
        let mut lens: BTreeMap<u8, usize> = BTreeMap::new();
        for (lane, len) in self.queue.lane_lens() {
            *lens.entry(lane.class.priority()).or_default() += len;
        }
        lens
    }

    fn note_shed(
        &mut self,
        record: ShedRecord,
    ) {
        if self.shed_records.len() < MAX_SHED_RECORDS {
            self.shed_records.push(record);
        }
    }

    /// Removes a request from the load of its service, as it left the queue to run or not.
    pub(super) fn note_dequeued(
        &mut self,
        request: RequestId,
        has_run: bool,
        now: Millis,
    ) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        let service = entry.job.service;
        let Some(queued) = entry.queued_work.take() else {
            return;
        };
        let nominal = self.fleet.capacity(service);
        self.overload
            .note_removed(service, &queued, has_run, nominal, now);
    }

    fn arrival(
        &self,
        job: &Job,
        now: Millis,
    ) -> Arrival {
        let class = QueueClass::of(job.urgency(), job.has_begun);
        Arrival {
            class,
            account: job.account.unwrap_or(NO_ACCOUNT),
            work: work(job),
            kept: self.returns.kept(job.service, class.priority(), now),
            on_time_left: self.latest_send_at(job).since(now),
            time_left: job.deadline.since(now + self.min_service_time(job)),
        }
    }

    /// The refusal of a request that waits too long, with a time to come back.
    fn shed(
        &mut self,
        job: &Job,
        arrival: &Arrival,
        estimate: &WaitEstimate,
        now: Millis,
    ) -> Refusal {
        let retry_after = self
            .return_delay(job, arrival, now)
            .unwrap_or_else(|| time_to_drain(arrival, estimate));
        Refusal::after(ErrorKind::CannotMeetDeadline, retry_after)
    }
}

/// The time after which the work ahead of a refused request leaves enough.
fn time_to_drain(
    arrival: &Arrival,
    estimate: &WaitEstimate,
) -> Millis {
    let drained = estimate.wait.since(arrival.on_time_left);
    drained.min(longest_return(arrival)).max(MIN_RETRY_AFTER)
}

/// The longest time after which callers come back: a third of what they have left.
pub(super) const fn longest_return(arrival: &Arrival) -> Millis {
    Millis(arrival.time_left.0 / 3)
}
