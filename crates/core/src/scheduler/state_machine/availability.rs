//! Evacuations, cold upstreams and what upstreams state about themselves: events, and refusals of
//! requests that no upstream may serve.

use {
    super::Scheduler,
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{DataCentreId, RequestId, ServiceId, UpstreamId},
        scheduler::{
            AdmissionShare, Announcement, AttemptId, ColdLimit, ImplausibleReports, Job, LOCAL_VM,
            SchedulerAction as Action, SignalChanges, UpstreamSignals, running::Stage,
        },
    },
    std::collections::HashMap,
};

/// Interval between checks whether queued requests can still resume their streams.
const RESUMPTION_CHECK_INTERVAL: Millis = Millis(50);

impl Scheduler {
    /// Refuses a hedge while no upstream but those that it excludes may serve it.
    pub(super) fn check_hedge(
        &self,
        job: &Job,
        now: Millis,
    ) -> Result<(), Refusal> {
        let mut ready = self.fleet.ready(job.service);
        let mut has_other = || {
            ready.any(|up| {
                !job.excluded_upstreams.contains(&up.id)
                    && up.accepts_requests(now)
                    && up.may_serve(job)
                    && up.health.is_available(now)
            })
        };
        if !job.is_hedge || has_other() {
            Ok(())
        } else {
            Err(Refusal::new(ErrorKind::NoUpstream))
        }
    }

    /// Records that an operator evacuates a data centre: its upstreams get no new requests.
    pub fn begin_evacuation(
        &mut self,
        data_centre: DataCentreId,
        source: Announcement,
        now: Millis,
    ) -> Vec<Action> {
        let times = self.settings.evacuation;
        self.next_evacuation_at = self.fleet.begin_evacuation(data_centre, source, times, now);
        self.decide(now)
    }

    /// Records that an operator has taken the evacuation of a data centre back.
    pub fn end_evacuation(
        &mut self,
        data_centre: DataCentreId,
        now: Millis,
    ) -> Vec<Action> {
        self.fleet.end_evacuation(data_centre, now);
        self.next_evacuation_at = self.fleet.next_evacuation(now);
        self.reevaluate_all(now);
        self.decide(now)
    }

    /// Replaces the limits of cold upstreams; services that are not listed have none.
    pub fn set_cold_limits(
        &mut self,
        limits: HashMap<ServiceId, ColdLimit>,
    ) {
        self.fleet.set_cold_limits(limits);
    }

    /// Sets which part of the upstreams' limits over all VMs this scheduler may use.
    pub fn set_admission_share(
        &mut self,
        share: AdmissionShare,
    ) {
        self.fleet.admission_share = share;
    }

    /// Records what an upstream states in a response to a request of this VM's own callers, which
    /// was sent at `sent_at`.
    pub fn note_own_signals(
        &mut self,
        id: UpstreamId,
        signals: &UpstreamSignals,
        sent_at: Millis,
        now: Millis,
    ) -> SignalChanges {
        let changes = self.fleet.note_signals(LOCAL_VM, id, signals, sent_at, now);
        self.note_load(id, signals, sent_at, now);
        changes
    }

    /// Records what an upstream states in its response to an assigned request.
    pub fn note_signals(
        &mut self,
        attempt_id: AttemptId,
        signals: &UpstreamSignals,
        now: Millis,
    ) {
        let request = self.by_attempt_id.get(&attempt_id);
        let Some(entry) = request.and_then(|request| self.entries.get(request)) else {
            return;
        };
        if let Stage::Running { upstream, .. } = entry.stage {
            let sent_at = entry.assigned_at;
            self.fleet
                .note_signals(attempt_id.vm, upstream, signals, sent_at, now);
            self.note_load(upstream, signals, sent_at, now);
        }
        if signals.rest.is_some() {
            self.rested_vms.insert(attempt_id.vm);
        }
    }

    fn note_load(
        &mut self,
        id: UpstreamId,
        signals: &UpstreamSignals,
        sent_at: Millis,
        now: Millis,
    ) {
        if let Some(heard) = signals.load {
            let settings = self.settings.hard_load;
            self.fleet.note_load(id, heard, sent_at, settings, now);
        }
    }

    /// Counts a load report that can't be decoded, or whose pace isn't credible.
    pub fn note_implausible_report(
        &mut self,
        id: UpstreamId,
    ) {
        self.fleet.note_implausible_report(id);
    }

    /// The implausible load reports that weren't returned before, of each upstream at most once a minute.
    pub fn take_implausible_reports(
        &mut self,
        now: Millis,
    ) -> Vec<ImplausibleReports> {
        self.fleet
            .take_implausible_reports(self.settings.hard_load, now)
    }

    /// Refuses a request that can't be served in time, as all upstreams that may serve it want rest
    /// from its VM.
    pub(super) fn check_rests(
        &self,
        job: &Job,
        vm: u32,
        now: Millis,
    ) -> Result<(), Refusal> {
        let rest = self.fleet.rest_left(job, vm, now);
        if rest == Millis::ZERO || now + rest + self.min_service_time(job) <= job.deadline {
            return Ok(());
        }
        Err(Refusal::after(ErrorKind::CannotMeetDeadline, rest))
    }

    /// Refuses queued requests of VMs that upstreams have just asked for rest.
    pub(super) fn refuse_rested(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        let vms = std::mem::take(&mut self.rested_vms);
        if vms.is_empty() {
            return Vec::new();
        }
        self.refuse_waiting(now, |scheduler, attempt_id, job| {
            if vms.contains(&attempt_id.vm) {
                scheduler.check_rests(job, attempt_id.vm, now)
            } else {
                Ok(())
            }
        })
    }

    /// Refuses a request that no upstream may serve until an operator changes something.
    pub(super) fn check_availability(
        &self,
        job: &Job,
        now: Millis,
    ) -> Result<(), Refusal> {
        let mut ready = self.fleet.ready(job.service);
        if ready.next().is_none() {
            // It may register at any moment.
            return Ok(());
        }
        let ready = self.fleet.ready(job.service);
        let mut allowed = ready
            .filter(|up| job.is_allowed_in(up.data_centre))
            .peekable();
        if allowed.peek().is_none() {
            return Err(Refusal::new(ErrorKind::RegionUnavailable));
        }
        let mut eligible = allowed.filter(|up| job.is_allowed_at(up.build)).peekable();
        if eligible.peek().is_none() {
            return Err(Refusal::new(ErrorKind::StreamNotResumable));
        }
        if eligible.any(|up| up.accepts_requests(now)) {
            Ok(())
        } else {
            Err(Refusal::new(ErrorKind::Evacuated))
        }
    }

    /// Refuses queued requests that resume a stream once the last upstream of its build has left.
    pub(super) fn refuse_not_resumable(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        if self.queued_resumptions == 0 || now < self.next_resumption_check_at {
            return Vec::new();
        }
        self.next_resumption_check_at = now + RESUMPTION_CHECK_INTERVAL;
        self.refuse_waiting(now, |scheduler, _, job| {
            if job.build.is_some() {
                scheduler.check_availability(job, now)
            } else {
                Ok(())
            }
        })
    }

    /// Refuses queued requests whose last data centres an evacuation has just closed.
    pub(super) fn refuse_evacuated(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        if self.next_evacuation_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.next_evacuation_at = self.fleet.next_evacuation(now);
        self.refuse_waiting(now, |scheduler, _, job| {
            scheduler.check_availability(job, now)
        })
    }

    /// Refuses the queued requests that don't pass a check.
    pub(super) fn refuse_waiting<F>(
        &mut self,
        now: Millis,
        check: F,
    ) -> Vec<Action>
    where
        F: Fn(&Self, AttemptId, &Job) -> Result<(), Refusal>,
    {
        let waiting = self.entries.iter();
        let waiting = waiting.filter(|(_, entry)| entry.stage == Stage::Waiting);
        let refused: Vec<(RequestId, Refusal)> = waiting
            .filter_map(|(&request, entry)| {
                let refusal = check(self, entry.attempt_id, &entry.job).err()?;
                Some((request, refusal))
            })
            .collect();
        refused
            .into_iter()
            .filter_map(|(request, refusal)| self.refuse(request, refusal, now))
            .collect()
    }
}
