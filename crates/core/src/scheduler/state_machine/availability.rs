//! Evacuations, cold upstreams and what upstreams state about themselves: events, and refusals of
//! requests that no upstream may serve.

use {
    super::Scheduler,
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{DataCentreId, RequestId, ServiceId, UpstreamId},
        scheduler::{
            AdmissionShare, Announcement, AttemptId, ColdLimit, Job, SchedulerAction as Action,
            SignalChanges, UpstreamSignals, running::Stage,
        },
    },
    std::collections::HashMap,
};

impl Scheduler {
    /// Records that an operator evacuates a data centre: its upstreams get no new requests.
    pub fn begin_evacuation(
        &mut self,
        data_centre: DataCentreId,
        source: Announcement,
        now: Millis,
    ) -> Vec<Action> {
        let move_time = self.settings.evacuation_move;
        self.next_evacuation_at = self
            .fleet
            .begin_evacuation(data_centre, source, move_time, now);
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
        let upstream = self.fleet.upstreams.get_mut(&id);
        upstream.map_or_else(SignalChanges::default, |upstream| {
            upstream.note_signals(signals, sent_at, now)
        })
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
        if let Stage::Running { upstream, .. } = entry.stage
            && let Some(upstream) = self.fleet.upstreams.get_mut(&upstream)
        {
            upstream.note_signals(signals, entry.assigned_at, now);
        }
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
        if allowed.any(|up| up.accepts_requests(now)) {
            Ok(())
        } else {
            Err(Refusal::new(ErrorKind::Evacuated))
        }
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
        let refused: Vec<(RequestId, Refusal)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.stage == Stage::Waiting)
            .filter_map(|(&request, entry)| {
                let refusal = self.check_availability(&entry.job, now).err()?;
                Some((request, refusal))
            })
            .collect();
        refused
            .into_iter()
            .filter_map(|(request, refusal)| self.refuse(request, refusal, now))
            .collect()
    }
}
