//! Which upstreams may get requests: evacuations of data centres, limits of cold upstreams and
//! what upstreams state about themselves.

use {
    super::{
        Announcement, EvacuationTimes, Job, SignalChanges, StatedUpstream, UpstreamSignals,
        admission_log::AdmissionLog,
        brittleness::{BrittleLoad, CAUTION, REJECTION_WINDOW, SERVICE_RETENTION},
        cold_admission::{COLD_WINDOW, ColdLimit},
        fleet::Fleet,
        request_limit::LIMIT_WINDOW,
        upstream::Upstream,
    },
    crate::{
        clock::Millis,
        ids::{DataCentreId, ServiceId, UpstreamId},
    },
    std::collections::HashMap,
};

impl Fleet {
    /// Begins the evacuation of a data centre; returns when the next evacuation takes effect.
    pub(super) fn begin_evacuation(
        &mut self,
        data_centre: DataCentreId,
        source: Announcement,
        times: EvacuationTimes,
        now: Millis,
    ) -> Option<Millis> {
        self.evacuations.begin(data_centre, source, times, now);
        let effective_at = self.evacuations.effective_at(Some(data_centre));
        for upstream in self.upstreams_in(data_centre) {
            upstream.evacuated_from = effective_at;
        }
        match effective_at {
            Some(at) if at <= now => Some(at),
            _ => self.evacuations.next_effect(now),
        }
    }

    /// Ends the evacuation of a data centre; its upstreams may have become cold meanwhile.
    pub(super) fn end_evacuation(
        &mut self,
        data_centre: DataCentreId,
        now: Millis,
    ) {
        if !self.evacuations.end(data_centre) {
            return;
        }
        for upstream in self.upstreams_in(data_centre) {
            upstream.evacuated_from = None;
            upstream.assume_cold(now);
        }
    }

    /// When the next evacuation after `now` takes effect.
    pub(super) fn next_evacuation(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        self.evacuations.next_effect(now)
    }

    /// Replaces the limits of cold upstreams.
    pub(super) fn set_cold_limits(
        &mut self,
        limits: HashMap<ServiceId, ColdLimit>,
    ) {
        self.cold_limits = limits;
        for upstream in self.upstreams.values_mut() {
            upstream.cold_limit = self.cold_limits.get(&upstream.service).copied();
        }
    }

    /// How long until an upstream's cold limit allows one more request from this scheduler; `None`
    /// if it isn't known.
    pub(super) fn cold_wait(
        &self,
        upstream: &Upstream,
        now: Millis,
    ) -> Option<Millis> {
        let Some(limit) = upstream.cold_limit else {
            return Some(Millis::ZERO);
        };
        let allowed = if upstream.is_cold(now) {
            let share = &self.admission_share;
            limit.allowed(share.part(upstream.id_hash, COLD_WINDOW, now))
        } else {
            limit.unannounced_part()
        };
        upstream.cold_admissions.wait(allowed, COLD_WINDOW, now)
    }

    /// How long until the request limit that an upstream states allows one more request from this
    /// scheduler; `None` if it isn't known.
    pub(super) fn request_limit_wait(
        &self,
        upstream: &Upstream,
        now: Millis,
    ) -> Option<Millis> {
        let Some(limit) = upstream.statements.request_limit else {
            return Some(Millis::ZERO);
        };
        let share = &self.admission_share;
        let part = share.part(upstream.id_hash, LIMIT_WINDOW, now);
        limit.wait(part, &upstream.statements.admissions, now)
    }

    /// Whether an upstream has room for the body of a request from this scheduler.
    pub(super) fn has_room_for_body(
        &self,
        upstream: &Upstream,
        job: &Job,
        now: Millis,
    ) -> bool {
        if !self.body_bytes.is_limited() {
            return true;
        }
        let share = &self.admission_share;
        let part = share.part(upstream.id_hash, LIMIT_WINDOW, now);
        self.body_bytes.has_room(upstream.id, part, job.body_bytes)
    }

    /// Whether an upstream that may be brittle has room for one more request from this scheduler.
    pub(super) fn has_room_while_brittle(
        &self,
        upstream: &Upstream,
        now: Millis,
    ) -> bool {
        let of_service = self.brittle_services.get(&upstream.service).copied();
        let of_service = of_service.filter(|known| now < known.stated_at + SERVICE_RETENTION);
        let Some(brittleness) = upstream.statements.brittleness.or(of_service) else {
            return true;
        };
        let share = &self.admission_share;
        let part = share.part(upstream.id_hash, REJECTION_WINDOW, now);
        let statements = &upstream.statements;
        let is_recent = |at: Millis| now < at + CAUTION;
        let load = BrittleLoad {
            running: upstream.running,
            unconfirmed: match &upstream.engine {
                Some(engine) => engine.backlog.len() as u32,
                None => upstream.running,
            },
            rejected: statements.rejections.ages(now).len(),
            was_rejecting: statements.rejected_at.is_some_and(is_recent),
        };
        brittleness.allows(part, upstream.slots, load)
    }

    /// Records what an upstream states in a response to a request of a VM that was sent at `sent_at`.
    pub(super) fn note_signals(
        &mut self,
        vm: u32,
        id: UpstreamId,
        signals: &UpstreamSignals,
        sent_at: Millis,
        now: Millis,
    ) -> SignalChanges {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return self.departed.note(vm, id, signals, sent_at, now);
        };
        let statements = &mut upstream.statements;
        let changes = statements.note(vm, signals, sent_at, now);
        self.last_rest_end = self.last_rest_end.max(statements.rests.last_end());
        if let Some(stated) = statements.brittleness {
            self.brittle_services.insert(upstream.service, stated);
        }
        changes
    }

    /// Whether any upstream may want rest from any VM.
    pub(super) fn has_rests(
        &self,
        now: Millis,
    ) -> bool {
        now < self.last_rest_end
    }

    /// How long until the first of the upstreams that may serve a request of a VM wants no more rest
    /// from it.
    pub(super) fn rest_left(
        &self,
        job: &Job,
        vm: u32,
        now: Millis,
    ) -> Millis {
        if !self.has_rests(now) {
            return Millis::ZERO;
        }
        let ready = self.ready(job.service);
        let usable = ready.filter(|up| up.accepts_requests(now) && up.may_serve(job));
        let rests = usable.map(|up| up.statements.rests.left(vm, now));
        rests.min().unwrap_or_default()
    }

    /// The upstreams that have stated something.
    pub(super) fn stated(
        &self,
        now: Millis,
    ) -> Vec<StatedUpstream> {
        let upstreams = self.upstreams.values();
        let stated = upstreams.filter_map(|up| {
            Some(StatedUpstream {
                upstream: up.id,
                started_unix_ms: up.started_unix_ms,
                signals: up.statements.signals(now)?,
                sent_ago: up.statements.own_sent.ages(now),
                base_pace: up.statements.told_base(now),
            })
        });
        stated.chain(self.departed.stated(now)).collect()
    }

    /// Adds what upstreams stated to a VM before this scheduler took over and, with
    /// `counts_requests`, the requests that the VM sent to them.
    pub(super) fn add_stated(
        &mut self,
        vm: u32,
        stated: &[StatedUpstream],
        counts_requests: bool,
        now: Millis,
    ) {
        for told in stated {
            let Some(upstream) = self.upstreams.get_mut(&told.upstream) else {
                self.departed.add(vm, told, counts_requests, now);
                continue;
            };
            // The VM may still tell of an earlier run; one without an entry doesn't know the run.
            let is_other =
                told.started_unix_ms.is_some() && told.started_unix_ms != upstream.started_unix_ms;
            if is_other {
                continue;
            }
            let statements = &mut upstream.statements;
            statements.add_told(vm, told, counts_requests, now);
            if told.tells_pace() {
                self.pace_reporters.insert(upstream.service);
            }
            if let Some(stated) = statements.brittleness {
                self.brittle_services.insert(upstream.service, stated);
            }
            self.last_rest_end = self.last_rest_end.max(statements.rests.last_end());
        }
    }

    /// Forgets the requests to upstreams with a limit: VMs tell a new scheduler what they sent.
    pub(super) fn restart_limit_logs(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.statements.admissions = AdmissionLog::new(LIMIT_WINDOW);
        }
    }

    fn upstreams_in(
        &mut self,
        data_centre: DataCentreId,
    ) -> impl Iterator<Item = &mut Upstream> {
        let upstreams = self.upstreams.values_mut();
        upstreams.filter(move |up| up.data_centre == Some(data_centre))
    }
}
