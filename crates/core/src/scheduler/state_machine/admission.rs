//! Admission checks for new requests, and their queue entries.

use {
    super::{MIN_RETRY_AFTER, Scheduler},
    crate::{
        ask_shares::{AskKind, ToldShares},
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, AdapterVersion, RequestId, ServiceId},
        queue::{Priority, QueueTarget, QueuedRequest},
        rights::Charge,
        scheduler::{AttemptId, Job, LOCAL_VM, Work},
    },
};

/// Queue of requests without an account.
pub(super) const NO_ACCOUNT: AccountId = AccountId(u32::MAX);
/// Allowance for the network: from the assignment to the engine, and from the first event back to
/// the scheduler.
const DISPATCH_DELAY: Millis = Millis(40);

impl Scheduler {
    /// Refuses a request that is not expected to meet its deadline, where requests aren't shed by
    /// urgency.
    pub(super) fn check_deadline(
        &self,
        job: &Job,
        now: Millis,
    ) -> Result<(), Refusal> {
        // The queue waits for an answer that has begun, and not the other way round.
        let wait = if job.has_begun {
            Millis::ZERO
        } else {
            self.expected_wait(job.service)
        };
        let remaining = job.deadline.since(now + self.min_service_time(job));
        if wait < remaining {
            return Ok(());
        }
        let retry_after = wait.since(remaining).max(MIN_RETRY_AFTER);
        Err(Refusal::after(ErrorKind::CannotMeetDeadline, retry_after))
    }

    /// How long the queued work of a service keeps its upstreams busy.
    ///
    /// Computed from the capacity of the upstreams rather than the recent drain rate of the queue,
    /// as requests that wait for an adapter delay no others.
    pub(super) fn expected_wait(
        &self,
        service: ServiceId,
    ) -> Millis {
        let queued = self.queued_work.get(&service).copied().unwrap_or_default();
        let per_ms = self.fleet.capacity(service);
        match per_ms {
            zero if zero <= 0.0 => Millis::ZERO,
            per_ms => Millis((queued / per_ms) as u64),
        }
    }

    /// Charges the account's rate for the first attempt of a request; later attempts are free.
    pub(super) fn charge(
        &mut self,
        job: &Job,
        now: Millis,
    ) -> Result<Option<Charge>, Refusal> {
        if job.attempt > 1 {
            return Ok(None);
        }
        let settings = self.settings.hard_load;
        let has_own_times = self
            .fleet
            .is_active(settings.return_times, job.service, settings);
        self.rates.admit(job, has_own_times, now)
    }

    /// Records a decision by an account's rate about a request that another VM has passed on.
    pub(super) fn note_asked(
        &mut self,
        attempt_id: AttemptId,
        job: &Job,
        decided: &Result<Option<Charge>, Refusal>,
    ) {
        let Some(account) = job.account.filter(|_| attempt_id.vm != LOCAL_VM) else {
            return;
        };
        let kind = match job.work {
            Work::Call => AskKind::Call,
            Work::Generation(_) => AskKind::Generation,
        };
        match decided {
            Ok(Some(_)) => self.asks.note(account, kind, None),
            Err(Refusal {
                kind: ErrorKind::RateLimited,
                retry_after: Some(told),
            }) => self.asks.note(account, kind, Some(*told)),
            // What exceeds the burst is refused whatever is left of the rate, and has no time to come back.
            Ok(None) | Err(_) => {}
        }
    }

    /// Which share of other VMs' requests this scheduler wants to be asked about, for a VM that knows what `revision`
    /// told; `None` if that still holds.
    pub fn told_shares(
        &self,
        revision: u64,
    ) -> Option<ToldShares> {
        (self.asks.revision() != revision).then(|| self.asks.told())
    }

    /// The queue entry of a request.
    pub(super) fn queue_item(
        &self,
        request: RequestId,
        job: &Job,
        now: Millis,
    ) -> QueuedRequest {
        let min_time = self.min_service_time(job);
        let send_deadline = Millis(job.deadline.0.saturating_sub(min_time.0));
        QueuedRequest {
            request,
            account: job.account.unwrap_or(NO_ACCOUNT),
            priority: if job.has_begun {
                Priority::High
            } else {
                priority_class(job.priority)
            },
            cost: job.cost.max(1),
            deadline: send_deadline.max(now),
            target: queue_target(job, Hold::Free),
        }
    }

    /// The latest time to send a request that can still be on time, behind a full engine backlog
    /// and its own prompt; for an answer that has begun, that can still be complete.
    pub(super) fn latest_send_at(
        &self,
        job: &Job,
    ) -> Millis {
        if job.has_begun {
            return Millis(job.deadline.0.saturating_sub(self.min_service_time(job).0));
        }
        let needed = match job.generation() {
            None => self
                .fleet
                .most_call_time(job.service, self.settings.min_call_time),
            Some(generation) => {
                let tokens = f64::from(generation.size.prompt);
                let read_ms = self.fleet.prefill_time(job.service).time_for(tokens);
                self.settings.engine_backlog + Millis(read_ms as u64) + DISPATCH_DELAY
            }
        };
        Millis(job.objective.0.saturating_sub(needed.0))
    }

    /// The shortest time that a request takes once it is sent.
    pub(super) const fn min_service_time(
        &self,
        job: &Job,
    ) -> Millis {
        match job.work {
            Work::Call => self.settings.min_call_time,
            Work::Generation(_) => self.settings.min_generation_time,
        }
    }
}

/// Maps a job's priority to the queue's class.
const fn priority_class(priority: u8) -> Priority {
    match priority {
        0 => Priority::High,
        1 | 2 => Priority::Normal,
        _ => Priority::Low,
    }
}

/// What a request waits for before it may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Hold {
    Free,
    /// For what others show about parts of its prompt, the second of which so many crashes accuse.
    Parts {
        suspicion: usize,
    },
    /// For what its earlier attempts show.
    Request,
}

/// The queue target of a request. An adapter's requests share one target whatever the version, as the version is chosen
/// when a request is sent.
pub(super) fn queue_target(
    job: &Job,
    hold: Hold,
) -> QueueTarget {
    if let Hold::Parts { suspicion } = hold {
        return QueueTarget::Trial { suspicion };
    }
    match job.generation() {
        generation if hold == Hold::Request => QueueTarget::RequestTrial {
            service: generation.is_none().then_some(job.service),
            request: job.caller,
        },
        None => QueueTarget::Service(job.service),
        Some(generation) => match generation.adapter {
            Some(adapter) => QueueTarget::Adapter(AdapterVersion {
                adapter,
                version: 0,
            }),
            None => QueueTarget::Base(generation.model),
        },
    }
}
