use {
    super::{
        LOCAL_VM,
        admission_log::AdmissionLog,
        brittleness::{Brittleness, REJECTION_WINDOW},
        request_limit::{LIMIT_WINDOW, RequestLimit},
        rests::Rests,
        signals::{SignalChanges, StatedUpstream, UpstreamSignals},
    },
    crate::{
        clock::Millis,
        load_reports::{PaceEstimate, PaceForecast},
    },
};

/// What one run of an upstream has stated about itself in its responses, and the requests that count
/// for it.
#[derive(Clone, Debug)]
pub(super) struct Statements {
    /// Since when the run is known.
    run_known_since: Millis,
    /// The request limit that it states.
    pub request_limit: Option<RequestLimit>,
    /// The VMs that it wants no requests from.
    pub rests: Rests,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// How few rejections it bears, if it is brittle.
    pub brittleness: Option<Brittleness>,
    /// The requests that it turned away.
    pub rejections: AdmissionLog,
    /// When it last turned one away.
    pub rejected_at: Option<Millis>,
    /// The requests that count for its request limit.
    pub admissions: AdmissionLog,
    /// The requests of this VM's own callers, whoever assigned them.
    pub own_sent: AdmissionLog,
    /// How fast it works.
    pub pace: PaceEstimate,
    /// What that tells, if load reports take effect for its service.
    pub forecast: Option<PaceForecast>,
}

impl Statements {
    /// Those of a run that is known since `now`.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            run_known_since: now,
            request_limit: None,
            rests: Rests::new(),
            is_leaving: false,
            brittleness: None,
            rejections: AdmissionLog::new(REJECTION_WINDOW),
            rejected_at: None,
            admissions: AdmissionLog::new(LIMIT_WINDOW),
            own_sent: AdmissionLog::new(LIMIT_WINDOW),
            pace: PaceEstimate::default(),
            forecast: None,
        }
    }

    /// Those of the next run of the same upstream, which is known since `now`.
    pub(super) fn of_next_run(
        &self,
        now: Millis,
    ) -> Self {
        Self {
            pace: self.pace.after_restart(now),
            ..Self::new(now)
        }
    }

    /// Whether a response to a request that was sent at `sent_at` may come from this run.
    pub(super) fn is_of_run(
        &self,
        sent_at: Millis,
    ) -> bool {
        sent_at >= self.run_known_since
    }

    /// The base pace with its weight, as this VM tells it to a new scheduler.
    pub(super) fn told_base(
        &self,
        now: Millis,
    ) -> Option<(f64, f64)> {
        self.forecast.and_then(|_| self.pace.base(now))
    }

    /// What it has stated, to this VM where that matters; `None` if nothing.
    pub(super) fn signals(
        &self,
        now: Millis,
    ) -> Option<UpstreamSignals> {
        let rest = self.rests.left(LOCAL_VM, now);
        let signals = UpstreamSignals {
            request_limit: self.request_limit.map(|limit| limit.per_second),
            rest: (rest > Millis::ZERO).then_some(rest),
            is_leaving: self.is_leaving,
            max_rejections: self.brittleness.map(|known| known.max_rejections),
            load: self.forecast.and_then(|_| self.pace.newest()),
        };
        let is_told = signals != UpstreamSignals::default() || self.told_base(now).is_some();
        is_told.then_some(signals)
    }

    /// Records that it turned a request away.
    pub(super) fn note_rejection(
        &mut self,
        now: Millis,
    ) {
        self.rejections.note(now);
        self.rejected_at = Some(now);
    }

    /// Whether nothing of it holds any more.
    pub(super) fn is_empty(
        &self,
        now: Millis,
    ) -> bool {
        self.request_limit.is_none()
            && self.brittleness.is_none()
            && !self.is_leaving
            && self.forecast.is_none()
            && now >= self.rests.last_end()
    }

    /// Adds what it stated to a VM before this scheduler took over and, with `counts_requests`, the
    /// requests that the VM sent to it.
    pub(super) fn add_told(
        &mut self,
        vm: u32,
        told: &StatedUpstream,
        counts_requests: bool,
        now: Millis,
    ) {
        self.add(vm, &told.signals, now);
        if let Some((base, weight)) = told.base_pace.filter(|_| counts_requests) {
            self.pace.add_base(base, weight, now);
        }
        if let Some(load) = told.signals.load {
            self.pace.note_report(load, now);
        }
        for &ago in told.sent_ago.iter().filter(|_| counts_requests) {
            self.admissions.add_earlier(now.since(ago));
        }
    }

    fn add(
        &mut self,
        vm: u32,
        signals: &UpstreamSignals,
        now: Millis,
    ) {
        let known = self.request_limit.map(|limit| limit.per_second);
        let signals = UpstreamSignals {
            request_limit: signals.request_limit.or(known),
            max_rejections: signals
                .max_rejections
                .or(self.brittleness.map(|known| known.max_rejections)),
            ..*signals
        };
        self.note(vm, &signals, now, now);
    }

    /// Records what it states in a response to a request of a VM that was sent at `sent_at`.
    ///
    /// A late response of an earlier run says nothing about this one.
    pub(super) fn note(
        &mut self,
        vm: u32,
        signals: &UpstreamSignals,
        sent_at: Millis,
        now: Millis,
    ) -> SignalChanges {
        if !self.is_of_run(sent_at) {
            return SignalChanges::default();
        }
        let before = self.request_limit.map(|limit| limit.per_second);
        self.request_limit =
            RequestLimit::after_response(self.request_limit, signals.request_limit, sent_at, now);
        let after = self.request_limit.map(|limit| limit.per_second);
        let borne_before = self.brittleness.map(|known| known.max_rejections);
        self.brittleness =
            Brittleness::after_response(self.brittleness, signals.max_rejections, sent_at, now);
        let borne = self.brittleness.map(|known| known.max_rejections);
        if let Some(rest) = signals.rest {
            self.rests.note(vm, rest, now);
        }
        let was_leaving = self.is_leaving;
        self.is_leaving |= signals.is_leaving;
        SignalChanges {
            request_limit: (before != after).then_some(after),
            rest: signals.rest,
            max_rejections: (borne_before != borne).then_some(borne),
            is_leaving: self.is_leaving && !was_leaving,
        }
    }
}
