use crate::clock::Millis;

/// Tokens of prompts read in a millisecond before anything has been seen: somewhat below the users' engines,
/// so that the first requests are spread rather than piled up.
const INITIAL: f64 = 15.0;
/// How much one observation counts.
const LEARNING: f64 = 0.15;
/// Shorter prompts say little: most of their time is the step that they are part of.
const LEAST_TOKENS: f64 = 300.0;
/// Bounds that one observation can't leave, in tokens a millisecond.
const RANGE: (f64, f64) = (0.5, 100.0);

/// How fast an engine reads prompts, as seen from the times of its first events.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    per_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self { per_ms: INITIAL }
    }
}

impl Speed {
    /// Notes that `tokens` of a prompt took `took`.
    pub(super) fn note(
        &mut self,
        tokens: f64,
        took: Millis,
    ) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let seen = (tokens / (took.0.max(1) as f64)).clamp(RANGE.0, RANGE.1);
        // In time per token, so that one stall counts for as much as it delayed.
        let slowness = (1.0 - LEARNING) / self.per_ms + LEARNING / seen;
        self.per_ms = 1.0 / slowness;
    }

    /// Tokens read in a millisecond.
    pub(super) const fn per_ms(self) -> f64 {
        self.per_ms
    }

    /// How long `tokens` take, in milliseconds.
    pub(super) fn time_for(
        self,
        tokens: f64,
    ) -> f64 {
        tokens / self.per_ms
    }
}
