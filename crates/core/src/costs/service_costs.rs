use {
    super::{CostPrior, hint_weight::HintWeight, learned_mean::LearnedMean, quantile::Quantile},
    crate::clock::Millis,
};

/// Expected work of a call before any has ended, in milliseconds.
const INITIAL_CALL_MS: f64 = 30.0;
/// Expected time of an output token before any generation has ended, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 10.0;
/// Expected deviation before any request has ended, relative to the mean.
const INITIAL_DEVIATION: f64 = 1.0;
/// Earlier observations of a service count at most this many together.
const MAX_WEIGHT: f64 = 256.0;
/// Earlier observations count at least this many, if as many were made, so that one after a pause doesn't replace the mean.
const MIN_WEIGHT: f64 = 8.0;
/// Weight of one request in the mean size of requests.
const SIZE_WEIGHT: f64 = 0.01;
/// Requests that must have ended before output tokens are estimated.
const MIN_TOKEN_SAMPLES: u32 = 20;
/// Part of the generations that are expected to end before their stated maximum.
const BELOW_MAXIMUM: f64 = 0.95;

/// What was learned of the requests of one service as a whole.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceCosts {
    /// Work of a request of mean size, in milliseconds.
    pub work: LearnedMean,
    /// Logarithm of the mean size of a request, in tokens; `None` for calls.
    mean_size: Option<f64>,
    hint_weight: HintWeight,
    /// Time of a token by the hints, which are right at the median.
    token_ms_by_hint: Quantile,
    /// Time of a token by the stated maximum. Too short where no request reaches its maximum, which
    /// makes estimates of tokens too high.
    token_ms_by_maximum: Quantile,
    /// Requests that have ended.
    samples: u32,
}

impl ServiceCosts {
    /// A service of which only the first request is known.
    pub(super) fn new(prior: CostPrior) -> Self {
        let initial_ms = match prior {
            CostPrior::Call => INITIAL_CALL_MS,
            CostPrior::Generation { max_tokens, .. } => {
                f64::from(max_tokens.max(1)) * INITIAL_TOKEN_MS
            }
        };
        Self {
            work: LearnedMean::new(initial_ms, INITIAL_DEVIATION, 0.0, Millis::ZERO),
            mean_size: None,
            hint_weight: HintWeight::default(),
            token_ms_by_hint: Quantile::new(0.5),
            token_ms_by_maximum: Quantile::new(BELOW_MAXIMUM),
            samples: 0,
        }
    }

    /// Expected work of a request by its size alone, in milliseconds.
    pub(super) fn work_ms(
        &self,
        prior: CostPrior,
    ) -> f64 {
        let size = self.size(prior);
        let relative = self.mean_size.map_or(0.0, |mean| size - mean);
        self.work.mean * relative.exp()
    }

    /// Records the work of a request, which is `ratio` times that of others of its size.
    pub(super) fn note(
        &mut self,
        prior: CostPrior,
        work_ms: f64,
        ratio: f64,
        now: Millis,
    ) {
        let size = self.size(prior);
        let mean = self.mean_size.unwrap_or(size);
        let mean = mean + (size - mean) * SIZE_WEIGHT;
        self.mean_size = Some(mean);
        let normal_ms = work_ms / ratio / (size - mean).exp();
        let least = MIN_WEIGHT.min(f64::from(self.samples));
        if self.work.weight(now) < least {
            self.work = LearnedMean::new(self.work.mean, self.work.deviation, least, now);
        }
        self.work.note(normal_ms, MAX_WEIGHT, now);
        self.samples = self.samples.saturating_add(1);
        self.note_tokens(prior, work_ms);
    }

    /// Adds what another process learned of the service.
    pub(super) fn merge(
        &mut self,
        told: &LearnedMean,
        max_weight: f64,
        now: Millis,
    ) {
        self.work.merge(told, max_weight, now);
    }

    /// Time of an output token in milliseconds; `None` while too little is known.
    pub(super) fn token_ms(&self) -> Option<f64> {
        let by_maximum = self.token_ms_by_maximum.get()?;
        let by_hint = self.token_ms_by_hint.get().unwrap_or(by_maximum);
        (self.samples >= MIN_TOKEN_SAMPLES).then(|| by_hint.max(by_maximum))
    }

    /// Logarithm of the size of a request by what it tells, in tokens; zero for calls.
    fn size(
        &self,
        prior: CostPrior,
    ) -> f64 {
        let CostPrior::Generation { max_tokens, hint } = prior else {
            return 0.0;
        };
        let max = f64::from(max_tokens.max(1));
        let hint = hint.map_or_else(
            || self.hint_weight.mean_hint(),
            |hint| relative_hint(hint, max),
        );
        max.ln() + self.hint_weight.get() * hint
    }

    fn note_tokens(
        &mut self,
        prior: CostPrior,
        work_ms: f64,
    ) {
        let CostPrior::Generation { max_tokens, hint } = prior else {
            return;
        };
        let max = f64::from(max_tokens.max(1));
        self.token_ms_by_maximum.note(work_ms / max);
        if let Some(hint) = hint {
            self.token_ms_by_hint
                .note(work_ms / f64::from(hint.clamp(1, max_tokens.max(1))));
            self.hint_weight
                .note(relative_hint(hint, max), (work_ms / max).ln());
        }
    }
}

/// Logarithm of a hint relative to the stated maximum.
fn relative_hint(
    hint: u32,
    max: f64,
) -> f64 {
    (f64::from(hint.max(1)).min(max) / max).ln()
}
