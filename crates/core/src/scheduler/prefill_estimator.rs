use crate::clock::Millis;

/// Initial samples, as prompt tokens and prefill milliseconds.
///
/// Slow enough that the first requests are spread over engines.
const INITIAL_SAMPLES: [(f64, f64); 2] = [(400.0, 30.0), (4_000.0, 250.0)];
/// Weight of each initial sample.
const INITIAL_SAMPLE_WEIGHT: f64 = 2.0;
/// Decay of earlier samples with each new one, for a memory of about 60 samples.
const SAMPLE_DECAY: f64 = 1.0 - 1.0 / 60.0;
/// Bounds of one sample relative to the estimate, to limit the effect of stalls.
const SAMPLE_BOUNDS: (f64, f64) = (0.2, 4.0);
/// Lower bound of the slope in milliseconds; prompts of equal length don't determine one.
const MIN_MS_PER_TOKEN: f64 = 0.002;

/// Linear model of prefill time: a fixed part and a part per token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PrefillTime {
    /// Fixed part, in milliseconds.
    pub fixed_ms: f64,
    /// Milliseconds per token.
    pub per_token_ms: f64,
    /// Mean prompt length, in tokens.
    pub typical_tokens: f64,
}

impl PrefillTime {
    /// Expected prefill time, in milliseconds.
    pub(super) fn time_for(
        self,
        tokens: f64,
    ) -> f64 {
        if tokens <= 0.0 {
            return 0.0;
        }
        self.fixed_ms + self.per_token_ms * tokens
    }

    /// Prefill throughput for prompts of mean length, in tokens per millisecond.
    pub(super) fn tokens_per_ms(self) -> f64 {
        self.typical_tokens / self.time_for(self.typical_tokens).max(f64::MIN_POSITIVE)
    }
}

/// Estimates prefill times from samples of all engines of one service.
///
/// Shared between engines, because one that is rarely used would keep its initial estimate and be
/// avoided for it. The fixed part keeps short prompts from making an engine look slow for long
/// ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillEstimator {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

impl Default for PrefillEstimator {
    fn default() -> Self {
        let empty = Self {
            weight: 0.0,
            tokens: 0.0,
            ms: 0.0,
            tokens_squared: 0.0,
            tokens_ms: 0.0,
        };
        INITIAL_SAMPLES
            .into_iter()
            .fold(empty, |sums, (tokens, ms)| {
                sums.with(tokens, ms, INITIAL_SAMPLE_WEIGHT)
            })
    }
}

impl PrefillEstimator {
    /// Adds a measured prefill time.
    pub(super) fn note(
        &mut self,
        tokens: f64,
        took: Millis,
    ) {
        let expected = self.prefill_time().time_for(tokens);
        let ms = (took.0 as f64).clamp(expected * SAMPLE_BOUNDS.0, expected * SAMPLE_BOUNDS.1);
        let decaying_sum = Self {
            weight: self.weight * SAMPLE_DECAY,
            tokens: self.tokens * SAMPLE_DECAY,
            ms: self.ms * SAMPLE_DECAY,
            tokens_squared: self.tokens_squared * SAMPLE_DECAY,
            tokens_ms: self.tokens_ms * SAMPLE_DECAY,
        };
        *self = decaying_sum.with(tokens, ms, 1.0);
    }

    /// Least-squares fit through the samples; slope and intercept are not negative.
    pub(super) fn prefill_time(&self) -> PrefillTime {
        let mean_tokens = self.tokens / self.weight;
        let mean_ms = self.ms / self.weight;
        let variance = self.tokens_squared / self.weight - mean_tokens * mean_tokens;
        let covariance = self.tokens_ms / self.weight - mean_tokens * mean_ms;
        let max_slope = mean_ms / mean_tokens.max(1.0);
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            max_slope
        };
        let per_token_ms = slope.clamp(MIN_MS_PER_TOKEN.min(max_slope), max_slope);
        PrefillTime {
            fixed_ms: mean_ms - per_token_ms * mean_tokens,
            per_token_ms,
            typical_tokens: mean_tokens,
        }
    }

    fn with(
        self,
        tokens: f64,
        ms: f64,
        weight: f64,
    ) -> Self {
        Self {
            weight: self.weight + weight,
            tokens: self.tokens + weight * tokens,
            ms: self.ms + weight * ms,
            tokens_squared: self.tokens_squared + weight * tokens * tokens,
            tokens_ms: self.tokens_ms + weight * tokens * ms,
        }
    }
}
