use {
    super::prefill_estimator::{PrefillEstimator, PrefillTime},
    crate::{clock::Millis, ids::RequestId, load_reports::PaceForecast},
    std::collections::VecDeque,
};

/// Weight of one sample in the moving average of an engine's slowness.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Bounds of one sample of slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 6.0);
/// Half-life of an engine's measured slowness.
const SLOWNESS_HALF_LIFE: Millis = Millis(4_000);

/// Most that an overdue prompt makes an engine count as slower.
const MAX_OVERDUE_FACTOR: f64 = 4.0;

/// A prompt that was sent and has no first event yet.
#[derive(Clone, Copy, Debug)]
struct PendingPrompt {
    request: RequestId,
    tokens: f64,
}

/// Prompts waiting for prefill on an engine, in the order in which they were sent.
#[derive(Clone, Debug)]
pub(super) struct Backlog {
    pending: VecDeque<PendingPrompt>,
    /// When prefill of the first prompt started.
    prefill_started_at: Millis,
    /// Prefill time model of the service.
    prefill_time: PrefillTime,
    /// Prefill time of this engine relative to its service, as a moving average.
    slowness: f64,
    observed_at: Millis,
    /// What load reports and measured times tell of its pace, if they take effect; replaces the slowness.
    forecast: Option<PaceForecast>,
}

/// Time that an engine took to process prompts, as an input of the estimator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PrefillSample {
    pub tokens: f64,
    pub took: Millis,
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            pending: VecDeque::new(),
            prefill_started_at: Millis::ZERO,
            prefill_time: PrefillEstimator::default().prefill_time(),
            slowness: 1.0,
            observed_at: Millis::ZERO,
            forecast: None,
        }
    }
}

impl Backlog {
    /// Adds a prompt with `tokens` to prefill.
    pub(super) fn push(
        &mut self,
        request: RequestId,
        tokens: f64,
        now: Millis,
    ) {
        if self.pending.is_empty() {
            self.prefill_started_at = now;
        }
        self.pending.push_back(PendingPrompt { request, tokens });
    }

    /// Sets the prefill time model of the service.
    pub(super) const fn set_prefill_time(
        &mut self,
        prefill_time: PrefillTime,
    ) {
        self.prefill_time = prefill_time;
    }

    /// Sets what is expected of the engine's pace; `None` for the moving average of its slowness.
    pub(super) const fn set_forecast(
        &mut self,
        forecast: Option<PaceForecast>,
    ) {
        self.forecast = forecast;
    }

    /// Records the first event of a request; returns its prefill time if that is known.
    ///
    /// Only the prompt at the front of the queue has a known start.
    pub(super) fn finish_prefill(
        &mut self,
        request: RequestId,
        now: Millis,
    ) -> Option<PrefillSample> {
        let first = self.pending.front().copied();
        let sample = first
            .filter(|first| first.request == request && first.tokens > 0.0)
            .map(|first| PrefillSample {
                tokens: first.tokens,
                took: now.since(self.prefill_started_at),
            });
        if let Some(sample) = sample {
            self.note_slowness(sample, now);
        }
        self.remove(request, now);
        sample
    }

    fn note_slowness(
        &mut self,
        sample: PrefillSample,
        now: Millis,
    ) {
        let expected = self.prefill_time.time_for(sample.tokens).max(1.0);
        let observed =
            (sample.took.0 as f64 / expected).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        self.slowness = self.measured_slowness(now);
        self.slowness += (observed - self.slowness) * SAMPLE_WEIGHT;
        self.observed_at = now;
    }

    /// Factor on the prefill time of the service.
    pub(super) fn slowness_at(
        &self,
        now: Millis,
    ) -> f64 {
        let forecast = self.forecast.as_ref();
        forecast.map_or_else(|| self.measured_slowness(now), |known| known.factor(now))
    }

    /// The moving average `slowness`, decayed towards 1 since its last update.
    ///
    /// Without the decay, an engine that is avoided for being slow would never be tried again.
    fn measured_slowness(
        &self,
        now: Millis,
    ) -> f64 {
        let halvings = now.since(self.observed_at).0 as f64 / SLOWNESS_HALF_LIFE.0 as f64;
        1.0 + (self.slowness - 1.0) * (-halvings).exp2()
    }

    /// Removes a request that has ended or was sent elsewhere.
    pub(super) fn remove(
        &mut self,
        request: RequestId,
        now: Millis,
    ) {
        if let Some(at) = self
            .pending
            .iter()
            .position(|pending| pending.request == request)
        {
            self.pending.remove(at);
            if at == 0 {
                self.prefill_started_at = now;
            }
        }
    }

    /// Expected time until all prompts are prefilled, in milliseconds.
    pub(super) fn wait(
        &self,
        now: Millis,
    ) -> f64 {
        let Some(first) = self.pending.front() else {
            return 0.0;
        };
        let spent = now.since(self.prefill_started_at).0 as f64;
        let slowness = self.slowness_at(now) * self.overdue_factor(now);
        let time_for =
            |pending: &PendingPrompt| self.prefill_time.time_for(pending.tokens) * slowness;
        let rest: f64 = self.pending.iter().skip(1).map(time_for).sum();
        (time_for(first) - spent).max(0.0) + rest
    }

    /// How many times as long as expected the first prompt takes already, at least 1.
    ///
    /// A prompt that is overdue shows that the engine is slower now than its last report said.
    fn overdue_factor(
        &self,
        now: Millis,
    ) -> f64 {
        let (Some(first), Some(forecast)) = (self.pending.front(), &self.forecast) else {
            return 1.0;
        };
        let expected = self.prefill_time.time_for(first.tokens) * forecast.factor(now);
        let spent = now.since(self.prefill_started_at).0 as f64;
        (spent / expected.max(1.0)).clamp(1.0, MAX_OVERDUE_FACTOR)
    }

    /// Expected prefill time of a single prompt, in milliseconds.
    pub(super) fn time_for(
        &self,
        tokens: f64,
        now: Millis,
    ) -> f64 {
        self.prefill_time.time_for(tokens) * self.slowness_at(now) * self.overdue_factor(now)
    }

    /// Prefill throughput, in tokens per millisecond.
    pub(super) fn tokens_per_ms(
        &self,
        now: Millis,
    ) -> f64 {
        let forecast = self.forecast.as_ref();
        let slowness = forecast.map_or(self.slowness, |known| known.factor(now));
        self.prefill_time.tokens_per_ms() / slowness
    }

    /// Number of prompts waiting for prefill.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no prompt is waiting for prefill.
    pub(super) fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
