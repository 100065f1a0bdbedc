//! Whether a request is taken in, and what the queue is told of it.

use {
    super::{LEAST_RETRY, Scheduler},
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, AdapterVersion, RequestId, ServiceId},
        queue::{Priority, Target, Waiting},
        rights::Charge,
        scheduler::{Job, Work, repeat_budget::RepeatBudget},
    },
};

/// The line of requests whose callers belong to no account.
const NO_ACCOUNT: AccountId = AccountId(u32::MAX);
/// From the word to send a request until it is at its engine, and from its first event until that is known.
const ON_THE_WAY: Millis = Millis(40);

impl Scheduler {
    /// A repeat is refused where the service has had its share of them.
    pub(super) fn check_repeat(
        &mut self,
        job: &Job,
        now: Millis,
    ) -> Result<(), Refusal> {
        let taken_over_at = self.taken_over_at;
        let budget = self
            .repeats
            .entry(job.service)
            .or_insert_with(|| RepeatBudget::taken_over(taken_over_at));
        if job.attempt <= 1 {
            budget.note_request(&self.settings.repeats, now);
            return Ok(());
        }
        if budget.take(&self.settings.repeats, now) {
            Ok(())
        } else {
            Err(Refusal::new(ErrorKind::NoUpstream))
        }
    }

    /// A request that could not be sent before its deadline is refused when it comes.
    pub(super) fn check_wait(
        &self,
        job: &Job,
        now: Millis,
    ) -> Result<(), Refusal> {
        let wait = self.expected_wait(job.service);
        let left = job.deadline.since(now + self.least_time(job));
        if wait < left {
            return Ok(());
        }
        let late = wait.since(left).max(LEAST_RETRY);
        Err(Refusal::after(ErrorKind::CannotMeetDeadline, late))
    }

    /// How long all that waits for a service keeps its upstreams busy. An upstream's own speed says so, and not how
    /// fast the queue has emptied lately: what waits for an adapter holds up nobody else.
    pub(super) fn expected_wait(
        &self,
        service: ServiceId,
    ) -> Millis {
        let waiting = self.waiting.get(&service).copied().unwrap_or_default();
        let per_ms = self.fleet.capacity(service);
        match per_ms {
            none if none <= 0.0 => Millis::ZERO,
            per_ms => Millis((waiting / per_ms) as u64),
        }
    }

    /// A request is charged for its first attempt only.
    pub(super) fn charge(
        &mut self,
        job: &Job,
        now: Millis,
    ) -> Result<Option<Charge>, Refusal> {
        if job.attempt > 1 {
            return Ok(None);
        }
        self.rates.admit(job, now)
    }

    pub(super) fn waiting(
        &self,
        request: RequestId,
        job: &Job,
        now: Millis,
    ) -> Waiting {
        let least = self.least_time(job);
        let latest = Millis(job.deadline.0.saturating_sub(least.0));
        Waiting {
            request,
            account: job.account.unwrap_or(NO_ACCOUNT),
            priority: class(job.priority),
            cost: job.cost.max(1),
            deadline: latest.max(now),
            target: target(job),
        }
    }

    /// Until when a request has to be sent to be on time: behind as many prompts as an engine may have, and with
    /// its own to be read.
    pub(super) fn timely_until(
        &self,
        job: &Job,
    ) -> Millis {
        let needed = match job.generation() {
            None => self.settings.least_call,
            Some(generation) => {
                let tokens = f64::from(generation.size.prompt);
                let read = self.fleet.read_line(job.service).time_for(tokens);
                self.settings.engine_backlog + Millis(read as u64) + ON_THE_WAY
            }
        };
        Millis(job.objective.0.saturating_sub(needed.0))
    }

    /// How long a request takes at the least once it is sent.
    const fn least_time(
        &self,
        job: &Job,
    ) -> Millis {
        match job.work {
            Work::Call => self.settings.least_call,
            Work::Generation(_) => self.settings.least_generation,
        }
    }
}

/// The queue's class of a rank.
const fn class(priority: u8) -> Priority {
    match priority {
        0 => Priority::High,
        1 | 2 => Priority::Normal,
        _ => Priority::Low,
    }
}

/// What requests can run on at the same times. The version is decided when a request is sent, so the line of
/// an adapter is one, whatever version is announced meanwhile.
fn target(job: &Job) -> Target {
    match job.generation() {
        None => Target::Service(job.service),
        Some(generation) => match generation.adapter {
            Some(adapter) => Target::Adapter(AdapterVersion {
                adapter,
                version: 0,
            }),
            None => Target::Base(generation.model),
        },
    }
}
