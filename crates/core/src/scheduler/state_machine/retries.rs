//! The retry budget: checks, and the history of attempts that VMs tell a new scheduler.

use {
    super::Scheduler,
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{ServiceId, UpstreamId},
        scheduler::{
            AttemptCounts, AttemptHistory, AttemptId, Job, RateShare, RetryRecord, RetryTotals,
            retry_budget::{BudgetState, RetryShare},
        },
    },
};

/// Most decisions about retries that are kept for the log.
const MAX_RETRY_RECORDS: usize = 100;

impl Scheduler {
    /// Refuses a retry if the service's retry budget is used up, and counts a request.
    pub(super) fn check_retry_budget(
        &mut self,
        attempt_id: AttemptId,
        job: &Job,
        now: Millis,
    ) -> Result<(), Refusal> {
        if !job.is_retry() {
            let budget = self.retry_budgets.entry(job.service).or_default();
            budget.note_request(&self.settings.repeats, now);
            return Ok(());
        }
        let share = self.retry_share(now);
        let settings = self.settings.repeats;
        let budget = self.retry_budgets.entry(job.service).or_default();
        let state = budget.state(&settings, share, now);
        if state.has_left() {
            return Ok(());
        }
        self.note_retry_decision(attempt_id, job, share, &state, false);
        Err(Refusal::new(ErrorKind::NoUpstream))
    }

    /// Reserves a retry for an attempt that is queued.
    pub(super) fn reserve_retry(
        &mut self,
        job: &Job,
    ) {
        if job.reserves_retry() {
            self.retry_budgets.entry(job.service).or_default().reserve();
        }
    }

    /// Returns the reservation of a queued attempt that isn't sent.
    pub(super) fn release_retry(
        &mut self,
        job: &Job,
    ) {
        if job.reserves_retry() {
            self.retry_budgets.entry(job.service).or_default().release();
        }
    }

    /// Draws on the retry budget for an attempt that is assigned; returns whether it may be sent.
    pub(super) fn draw_retry(
        &mut self,
        attempt_id: AttemptId,
        job: &Job,
        now: Millis,
    ) -> bool {
        if !job.is_retry() {
            return true;
        }
        let share = self.retry_share(now);
        let settings = self.settings.repeats;
        self.release_retry(job);
        let budget = self.retry_budgets.entry(job.service).or_default();
        let state = budget.state(&settings, share, now);
        let is_granted = job.reserves_retry() || state.has_left();
        if is_granted {
            budget.note_retry(&settings, now);
        }
        self.note_retry_decision(attempt_id, job, share, &state, is_granted);
        is_granted
    }

    /// Keeps a decision about a retry for the log.
    fn note_retry_decision(
        &mut self,
        attempt_id: AttemptId,
        job: &Job,
        share: RetryShare,
        state: &BudgetState,
        is_granted: bool,
    ) {
        let record = RetryRecord {
            attempt_id,
            caller: job.caller,
            service: job.service,
            attempt: job.attempt,
            decider: share.decider(),
            counts: state.counts,
            allowed: state.allowed,
            is_granted,
        };
        self.retry_totals.note(&record);
        if self.retry_records.len() < MAX_RETRY_RECORDS {
            self.retry_records.push(record);
        }
    }

    /// Takes the decisions about retries since the last call; the first ones, if there were many.
    pub fn take_retry_records(&mut self) -> Vec<RetryRecord> {
        std::mem::take(&mut self.retry_records)
    }

    /// How many retries this scheduler has granted and refused.
    pub const fn retry_totals(&self) -> RetryTotals {
        self.retry_totals
    }

    /// Records an attempt of this VM's own callers, decided by this or another scheduler.
    pub fn note_own_attempt(
        &mut self,
        service: ServiceId,
        upstream: UpstreamId,
        attempt: u32,
        now: Millis,
    ) {
        let is_retry = attempt > 1;
        let counts = AttemptCounts {
            requests: u32::from(!is_retry),
            retries: u32::from(is_retry),
        };
        let window = self.settings.repeats.window;
        let budget = self.retry_budgets.entry(service).or_default();
        budget.own.add(counts, now, window, now);
        self.counting_since.get_or_insert(now);
        match self.fleet.upstreams.get_mut(&upstream) {
            Some(upstream) => upstream.statements.own_sent.note(now),
            None => self.fleet.departed.note_own_attempt(upstream, now),
        }
    }

    /// The attempts of this VM's own callers, for a new scheduler.
    pub fn attempt_history(
        &mut self,
        now: Millis,
    ) -> AttemptHistory {
        let window = self.settings.repeats.window;
        let since = self.counting_since.unwrap_or(now);
        let budgets = self.retry_budgets.iter_mut();
        let services = budgets.flat_map(|(&service, budget)| {
            let past = budget.own.past(window, now);
            past.map(move |past| (service, past))
        });
        AttemptHistory {
            counted_for: now.since(since).min(window),
            services: services.collect(),
            stated: self.fleet.stated(now),
        }
    }

    /// Adds what a VM tells of the time before this scheduler took over; `vm` is a hash of its name, and `session` its number
    /// in attempt ids.
    ///
    /// A VM that connects again is counted once: this scheduler has decided about its attempts since.
    pub fn add_attempt_history(
        &mut self,
        vm: u64,
        session: u32,
        history: &AttemptHistory,
        now: Millis,
    ) {
        let settings = self.settings.repeats;
        let counted = history.counted_for.0 as f64 / settings.window.0.max(1) as f64;
        let is_first = !self.told_history.contains_key(&vm);
        self.fleet
            .add_stated(session, &history.stated, is_first, now);
        self.fleet.renew_paces(self.settings.hard_load, now);
        if !is_first {
            return;
        }
        for &(service, past) in &history.services {
            let budget = self.retry_budgets.entry(service).or_default();
            budget.add_history(past, &settings, now);
        }
        self.told_history.insert(vm, counted.min(1.0));
    }

    /// The part of the attempts before the takeover that is known, from 0 to 1.
    ///
    /// What a VM sent that has left without telling, or before this scheduler knew of it, isn't.
    fn known_history(
        &self,
        now: Millis,
    ) -> f64 {
        let window = self.settings.repeats.window;
        let vms = self.members.count(window, now).max(self.told_history.len());
        let told: f64 = self.told_history.values().sum();
        let listed_for = self.members.listed_since().map(|since| now.since(since));
        let listed = listed_for.map_or(1.0, |time| time.0 as f64 / window.0.max(1) as f64);
        (told / vms.max(1) as f64).min(listed).min(1.0)
    }

    /// Starts the count of attempts anew as this scheduler is elected: all VMs tell it theirs, its own among them.
    pub(super) fn restart_retry_budgets(
        &mut self,
        taken_over_at: Option<Millis>,
    ) {
        self.taken_over_at = taken_over_at;
        self.told_history.clear();
        for budget in self.retry_budgets.values_mut() {
            budget.restart();
        }
    }

    fn retry_share(
        &self,
        now: Millis,
    ) -> RetryShare {
        let window = self.settings.repeats.window;
        match self.rates.share() {
            RateShare::Part(vms) if !self.can_order => RetryShare::Standalone { vms },
            _ => {
                let is_window_full = self.taken_over_at.is_none_or(|at| now.since(at) >= window);
                RetryShare::Scheduler {
                    known: if is_window_full {
                        1.0
                    } else {
                        self.known_history(now)
                    },
                }
            }
        }
    }
}
