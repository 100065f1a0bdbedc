//! What the outcomes of requests tell about upstreams: health, times, late loads.

use {
    super::{LoadSettings, Outcome, fleet::Fleet},
    crate::{
        clock::Millis,
        ids::{AdapterVersion, UpstreamId},
    },
};

impl Fleet {
    /// Updates health, latency and load estimates from the outcome of a request.
    pub(super) fn record_outcome(
        &mut self,
        id: UpstreamId,
        adapter: Option<AdapterVersion>,
        outcome: Outcome,
        load: &LoadSettings,
        now: Millis,
    ) {
        let expected = self.nominal_cold_time(load);
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.health.note_ended();
        let cold_load_accepted_at =
            adapter.and_then(|adapter| upstream.engine.as_ref()?.cold_load_accepted_at(adapter));
        if let (Some(since), Outcome::Shed | Outcome::NotLoaded) = (cold_load_accepted_at, outcome)
        {
            let elapsed = now.since(since);
            self.load_slowdown.note_late(elapsed, expected, now);
            self.load_punctuality.note(true, now);
            if let Some(engine) = &mut upstream.engine {
                engine.load_slowdown.note_late(elapsed, expected, now);
            }
        }
        if outcome == Outcome::Shed {
            upstream.statements.note_rejection(now);
        }
        match outcome {
            Outcome::Answered { took } => {
                upstream.health.note_success(now);
                upstream.note_call(took);
                if upstream.engine.is_none() {
                    let times = self.call_times.entry(upstream.service).or_default();
                    times.note(took);
                }
            }
            // An engine also sheds requests for an adapter that is still loading.
            Outcome::Shed if upstream.is_loading(adapter) => upstream.note_late(adapter, now),
            Outcome::Shed => upstream.health.note_failure(now),
            Outcome::Failed | Outcome::Lost => {
                upstream.health.note_error(now);
                self.pause_outlier(id, now);
            }
            Outcome::Unreachable => {
                upstream.health.note_unreachable(now);
                upstream.assume_cold(now);
            }
            Outcome::Silent => upstream.health.note_silence(now),
            // Another upstream has taken over the address; not used until its store entry changes.
            Outcome::OtherUpstream => upstream.is_ready = false,
            Outcome::Abandoned => {}
            Outcome::NotLoaded => upstream.note_late(adapter, now),
        }
        if matches!(outcome, Outcome::Lost | Outcome::Unreachable) {
            self.check_run(id, now);
        }
    }

    /// Pauses an upstream that fails much more often than the others of its service.
    fn pause_outlier(
        &mut self,
        id: UpstreamId,
        now: Millis,
    ) {
        let Some(service) = self
            .upstreams
            .get(&id)
            .filter(|up| up.health.is_suspect())
            .map(|up| up.service)
        else {
            return;
        };
        let others = self.ready(service).filter(|up| up.id != id);
        let (count, sum) = others.fold((0, 0.0), |(count, sum), up| {
            (count + 1, sum + up.health.failure_rate(now))
        });
        if count > 0
            && let Some(upstream) = self.upstreams.get_mut(&id)
        {
            upstream.health.pause_outlier(sum / f64::from(count), now);
        }
    }
}
