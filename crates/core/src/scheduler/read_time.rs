use crate::clock::Millis;

/// What is assumed before anything has been seen, as two prompts with the times that engines took to read them: somewhat
/// slow, so that the first requests are spread rather than piled up.
const ASSUMED: [(f64, f64); 2] = [(400.0, 30.0), (4_000.0, 250.0)];
/// How much each of the two counts, in prompts.
const ASSUMED_WEIGHT: f64 = 2.0;
/// How much older prompts count when another one was read: some sixty of them decide.
const MEMORY: f64 = 1.0 - 1.0 / 60.0;
/// Bounds of what one prompt may say, against what was expected of it: a stall says nothing about reading.
const RANGE: (f64, f64) = (0.2, 4.0);
/// The least time for a token, in milliseconds: prompts that are all alike say nothing about what a longer one takes.
const LEAST_PER_TOKEN: f64 = 0.002;

/// How long engines take to read a prompt: a time for each and a time for its length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ReadLine {
    /// In milliseconds, whatever its length.
    pub fixed_ms: f64,
    /// In milliseconds for each token.
    pub per_token_ms: f64,
    /// The length of a usual prompt, in tokens.
    pub usual_tokens: f64,
}

impl ReadLine {
    /// How long a prompt takes, in milliseconds.
    pub(super) fn time_for(
        self,
        tokens: f64,
    ) -> f64 {
        if tokens <= 0.0 {
            return 0.0;
        }
        self.fixed_ms + self.per_token_ms * tokens
    }

    /// Tokens of usual prompts that are read in a millisecond.
    pub(super) fn tokens_per_ms(self) -> f64 {
        self.usual_tokens / self.time_for(self.usual_tokens).max(f64::MIN_POSITIVE)
    }
}

/// How fast the engines of one service read prompts, learned from all of them together.
///
/// Learned engine by engine, one that is seldom used stays with what was assumed of it at first; assumed to be slow it
/// goes on being passed over while callers wait for others. By length alone, short prompts, most of whose time is the
/// step that they are part of, make an engine look slow for long ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadTime {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

impl Default for ReadTime {
    fn default() -> Self {
        let nothing = Self {
            weight: 0.0,
            tokens: 0.0,
            ms: 0.0,
            tokens_squared: 0.0,
            tokens_ms: 0.0,
        };
        ASSUMED.into_iter().fold(nothing, |sums, (tokens, ms)| {
            sums.with(tokens, ms, ASSUMED_WEIGHT)
        })
    }
}

impl ReadTime {
    /// Notes that a prompt of so many tokens was read in that time.
    pub(super) fn note(
        &mut self,
        tokens: f64,
        took: Millis,
    ) {
        let expected = self.line().time_for(tokens);
        let ms = (took.0 as f64).clamp(expected * RANGE.0, expected * RANGE.1);
        let faded = Self {
            weight: self.weight * MEMORY,
            tokens: self.tokens * MEMORY,
            ms: self.ms * MEMORY,
            tokens_squared: self.tokens_squared * MEMORY,
            tokens_ms: self.tokens_ms * MEMORY,
        };
        *self = faded.with(tokens, ms, 1.0);
    }

    /// The line through what was seen, by least squares; never falling, and never below nothing.
    pub(super) fn line(&self) -> ReadLine {
        let mean_tokens = self.tokens / self.weight;
        let mean_ms = self.ms / self.weight;
        let variance = self.tokens_squared / self.weight - mean_tokens * mean_tokens;
        let covariance = self.tokens_ms / self.weight - mean_tokens * mean_ms;
        let steepest = mean_ms / mean_tokens.max(1.0);
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            steepest
        };
        let per_token_ms = slope.clamp(LEAST_PER_TOKEN.min(steepest), steepest);
        ReadLine {
            fixed_ms: mean_ms - per_token_ms * mean_tokens,
            per_token_ms,
            usual_tokens: mean_tokens,
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
