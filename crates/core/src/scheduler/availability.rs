//! Which upstreams may get requests: evacuations of data centres, limits of cold upstreams and
//! limits that upstreams state.

use {
    super::{
        Announcement, StatedUpstream,
        admission_log::AdmissionLog,
        cold_admission::{COLD_WINDOW, ColdLimit},
        fleet::Fleet,
        request_limit::LIMIT_WINDOW,
        upstream::Upstream,
    },
    crate::{
        clock::Millis,
        ids::{DataCentreId, ServiceId},
    },
    std::collections::HashMap,
};

impl Fleet {
    /// Begins the evacuation of a data centre; returns when the next evacuation takes effect.
    pub(super) fn begin_evacuation(
        &mut self,
        data_centre: DataCentreId,
        source: Announcement,
        move_time: Millis,
        now: Millis,
    ) -> Option<Millis> {
        self.evacuations.begin(data_centre, source, move_time, now);
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
        let Some(limit) = upstream.request_limit else {
            return Some(Millis::ZERO);
        };
        let share = &self.admission_share;
        let part = share.part(upstream.id_hash, LIMIT_WINDOW, now);
        limit.wait(part, &upstream.limit_admissions, now)
    }

    /// The upstreams that have stated something.
    pub(super) fn stated(
        &self,
        now: Millis,
    ) -> Vec<StatedUpstream> {
        let upstreams = self.upstreams.values();
        upstreams.filter_map(|up| up.stated(now)).collect()
    }

    /// Adds what upstreams stated to another VM before this scheduler took over and, with
    /// `counts_requests`, the requests that the VM sent to them.
    pub(super) fn add_stated(
        &mut self,
        stated: &[StatedUpstream],
        counts_requests: bool,
        now: Millis,
    ) {
        for one in stated {
            let Some(upstream) = self.upstreams.get_mut(&one.upstream) else {
                continue;
            };
            upstream.add_stated(&one.signals, now);
            for &ago in one.sent_ago.iter().filter(|_| counts_requests) {
                upstream.limit_admissions.add_earlier(now.since(ago));
            }
        }
    }

    /// Forgets the requests to upstreams with a limit: VMs tell a new scheduler what they sent.
    pub(super) fn restart_limit_logs(&mut self) {
        for upstream in self.upstreams.values_mut() {
            upstream.limit_admissions = AdmissionLog::new(LIMIT_WINDOW);
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
