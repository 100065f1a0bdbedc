//! How fast upstreams work, by their load reports and by measured times.

use {
    super::{
        Activation, HardLoadSettings, ImplausibleReports, Outcome, PaceSummary,
        backlog::PrefillSample, fleet::Fleet, upstream::Upstream,
    },
    crate::{
        clock::Millis,
        ids::{ServiceId, UpstreamId},
        load_reports::HeardLoad,
    },
};

/// Interval at which the forecasts of upstreams without new measurements are renewed.
const RENEWAL_INTERVAL: Millis = Millis(5_000);
/// Shortest time between two actions about implausible reports of one upstream.
const COMPLAINT_INTERVAL: Millis = Millis::from_secs(60);

impl Fleet {
    /// Records the load that an upstream reported in a response to a request that was sent at `sent_at`.
    pub(super) fn note_load(
        &mut self,
        id: UpstreamId,
        heard: HeardLoad,
        sent_at: Millis,
        settings: HardLoadSettings,
        now: Millis,
    ) {
        let Some(up) = self.upstreams.get_mut(&id) else {
            return;
        };
        if !up.statements.is_of_run(sent_at) {
            return;
        }
        let service = up.service;
        up.note_load(heard, now);
        if heard.report.pace.is_some() && self.pace_reporters.insert(service) {
            self.renew_paces(settings, now);
        } else {
            self.renew_pace(id, settings, now);
        }
    }

    /// Counts a report of an upstream that can't be decoded, or whose pace isn't credible.
    pub(super) fn note_implausible_report(
        &mut self,
        id: UpstreamId,
    ) {
        if let Some(up) = self.upstreams.get_mut(&id) {
            up.statements.pace.note_implausible();
        }
    }

    /// Records the outcome of a call as a measurement of its upstream's pace.
    pub(super) fn note_call_pace(
        &mut self,
        id: UpstreamId,
        outcome: Outcome,
        settings: HardLoadSettings,
        now: Millis,
    ) {
        let Outcome::Answered { took } = outcome else {
            return;
        };
        let Some(up) = self.upstreams.get_mut(&id) else {
            return;
        };
        if up.engine.is_some() {
            return;
        }
        let usual = self.usual_call_times.entry(up.service).or_default();
        let took_ms = up.unqueued_ms(took);
        let factor = up.statements.pace.factor(now);
        up.statements.pace.note_duration(took_ms, usual.ms(), now);
        usual.note(took_ms, factor);
        up.usual_call_ms = usual.ms();
        self.renew_pace(id, settings, now);
    }

    /// Records a measured prefill time.
    pub(super) fn note_prefill_pace(
        &mut self,
        id: UpstreamId,
        service: ServiceId,
        sample: PrefillSample,
        settings: HardLoadSettings,
        now: Millis,
    ) {
        let usual_ms = self.prefill_time(service).time_for(sample.tokens).max(1.0);
        let mut usual = sample;
        if let Some(up) = self.upstreams.get_mut(&id) {
            let pace = &mut up.statements.pace;
            let factor = pace.factor(now);
            pace.note_duration(sample.took.0 as f64, usual_ms, now);
            if up.statements.forecast.is_some() {
                usual.took = Millis((sample.took.0 as f64 / factor).round() as u64);
            }
        }
        self.note_prefill(service, usual);
        self.renew_pace(id, settings, now);
    }

    /// Mean time of a call of the service at the usual pace, in milliseconds.
    pub(super) fn usual_call_ms(
        &self,
        service: ServiceId,
    ) -> f64 {
        let known = self.usual_call_times.get(&service).copied();
        known.unwrap_or_default().ms()
    }

    /// Renews all forecasts if they are due.
    pub(super) fn renew_due_paces(
        &mut self,
        settings: HardLoadSettings,
        now: Millis,
    ) {
        if now.since(self.paces_renewed_at) >= RENEWAL_INTERVAL {
            self.renew_paces(settings, now);
        }
    }

    /// Renews all forecasts, as settings have changed or as time passes.
    pub(super) fn renew_paces(
        &mut self,
        settings: HardLoadSettings,
        now: Millis,
    ) {
        self.paces_renewed_at = now;
        let mut upstreams = std::mem::take(&mut self.upstreams);
        for up in upstreams.values_mut() {
            let is_active = self.is_active(settings.load_reports, up.service, settings);
            up.renew_forecast(is_active, now);
        }
        self.upstreams = upstreams;
    }

    fn renew_pace(
        &mut self,
        id: UpstreamId,
        settings: HardLoadSettings,
        now: Millis,
    ) {
        let Some(service) = self.upstreams.get(&id).map(|up| up.service) else {
            return;
        };
        let is_active = self.is_active(settings.load_reports, service, settings);
        if let Some(up) = self.upstreams.get_mut(&id) {
            up.renew_forecast(is_active, now);
        }
    }

    /// The factors of all upstreams whose pace takes effect.
    pub(super) fn pace_summary(
        &self,
        now: Millis,
    ) -> PaceSummary {
        let mut summary = PaceSummary {
            decisions: self.report_ages.decisions,
            report_age_ms: self.report_ages.sum_ms,
            ..PaceSummary::default()
        };
        for up in self.upstreams.values() {
            summary.implausible += up.statements.pace.implausible();
            let Some(forecast) = &up.statements.forecast else {
                continue;
            };
            let percent = (forecast.factor(now) * 100.0) as u64;
            summary.lowest_percent = match summary.upstreams {
                0 => percent,
                _ => summary.lowest_percent.min(percent),
            };
            summary.highest_percent = summary.highest_percent.max(percent);
            summary.upstreams += 1;
        }
        summary
    }

    /// The implausible reports that weren't returned before, of each upstream at most once a minute; none where reports never
    /// take effect.
    pub(super) fn take_implausible_reports(
        &mut self,
        settings: HardLoadSettings,
        now: Millis,
    ) -> Vec<ImplausibleReports> {
        if settings.load_reports == Activation::Off {
            return Vec::new();
        }
        let upstreams = self.upstreams.values_mut();
        upstreams
            .filter_map(|up| up.take_implausible_reports(now))
            .collect()
    }
}

impl Upstream {
    fn note_load(
        &mut self,
        heard: HeardLoad,
        now: Millis,
    ) {
        let known = self.statements.pace.newest();
        self.statements.pace.note_report(heard, now);
        let newest = self.statements.pace.newest();
        if newest != known
            && let Some(HeardLoad { report, .. }) = newest
        {
            // The request whose response brought the report may still count here.
            let reported = report.running.saturating_add(report.waiting);
            self.foreign_requests = reported.saturating_sub(self.running);
        }
    }

    /// Sets the forecast by which work there is expected, `None` if load reports take no effect.
    fn renew_forecast(
        &mut self,
        is_active: bool,
        now: Millis,
    ) {
        let forecast = is_active.then(|| self.statements.pace.forecast(now));
        self.statements.forecast = forecast;
        if let Some(engine) = &mut self.engine {
            engine.backlog.set_forecast(forecast);
        }
    }

    fn take_implausible_reports(
        &mut self,
        now: Millis,
    ) -> Option<ImplausibleReports> {
        let total = self.statements.pace.implausible();
        let is_due = self
            .complained_at
            .is_none_or(|at| now.since(at) >= COMPLAINT_INTERVAL);
        if total == self.complained_count || !is_due {
            return None;
        }
        let count = total.saturating_sub(self.complained_count);
        self.complained_at = Some(now);
        self.complained_count = total;
        Some(ImplausibleReports {
            upstream: self.id,
            count,
        })
    }
}
