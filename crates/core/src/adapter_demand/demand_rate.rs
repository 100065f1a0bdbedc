use crate::{clock::Millis, decaying_sum::DecayingSum};

/// Half-life of the rate that shows a change.
const FAST_HALF_LIFE: Millis = Millis(1_000);
/// Half-life of the rate that a change is compared with.
const SLOW_HALF_LIFE: Millis = Millis(5_000);
/// Half-life of the rate by which rarely used adapters are compared: most of them are used less than once in 5 s.
const LONG_HALF_LIFE: Millis = Millis(30_000);
/// Standard deviations of the quicker rate beyond which a difference between two is a trend.
const TREND_DEVIATIONS: f64 = 1.5;
/// Smallest rise that is a trend, per second: two requests in a second are chance.
const MIN_RISE_PER_S: f64 = 1.0;
/// Part of a rise that is added to the fast rate, which lags a step by more than a second.
const RISE_EXTRAPOLATION: f64 = 1.0;

/// Counting of less than this says little about a rate.
const MIN_ELAPSED: Millis = Millis(500);

/// Whether a rate changes by more than chance explains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trend {
    /// The fast rate exceeds the slow one.
    Rising,
    /// Both agree.
    Steady,
    /// The fast rate is below the slow one.
    Falling,
}

/// The rate at which requests for one adapter arrive, over several times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandRate {
    fast: DecayingSum,
    slow: DecayingSum,
    long: DecayingSum,
}

impl DemandRate {
    /// Records a request.
    pub fn note(
        &mut self,
        now: Millis,
    ) {
        self.fast.add(1.0, now, FAST_HALF_LIFE);
        self.slow.add(1.0, now, SLOW_HALF_LIFE);
        self.long.add(1.0, now, LONG_HALF_LIFE);
    }

    /// Whether the rate changes, by the difference of the fast and the slow one.
    ///
    /// `since` is when counting began: the sums of less than their half-lives are scaled up, or each adapter would
    /// seem to rise at first.
    pub fn trend(
        &self,
        since: Millis,
        now: Millis,
    ) -> Trend {
        let fast = per_second(self.fast, since, now, FAST_HALF_LIFE);
        let slow = per_second(self.slow, since, now, SLOW_HALF_LIFE);
        let rise = noise(fast.max(slow), FAST_HALF_LIFE).max(MIN_RISE_PER_S);
        match fast - slow {
            above if above > rise => Trend::Rising,
            below if below < -noise(slow, FAST_HALF_LIFE) => Trend::Falling,
            _ => Trend::Steady,
        }
    }

    /// Expected requests per second in the next second; `since` is when counting began.
    pub fn expected(
        &self,
        since: Millis,
        now: Millis,
    ) -> f64 {
        let fast = per_second(self.fast, since, now, FAST_HALF_LIFE);
        let slow = per_second(self.slow, since, now, SLOW_HALF_LIFE);
        let long = per_second(self.long, since, now, LONG_HALF_LIFE);
        match self.trend(since, now) {
            Trend::Rising => fast + (fast - slow) * RISE_EXTRAPOLATION,
            Trend::Falling => fast,
            Trend::Steady if slow < long - noise(long, SLOW_HALF_LIFE) => slow,
            Trend::Steady => slow.max(long),
        }
    }
}

/// The rate of a decayed sum that has been counted since `since`.
fn per_second(
    sum: DecayingSum,
    since: Millis,
    now: Millis,
    half_life: Millis,
) -> f64 {
    let elapsed = now.since(since).max(MIN_ELAPSED);
    let counted = 1.0 - (-(elapsed.0 as f64) / half_life.0 as f64).exp2();
    sum.get(now, half_life) * std::f64::consts::LN_2 / half_life.as_secs_f64() / counted
}

/// By how much a rate that is measured with a half-life differs from its mean by chance.
fn noise(
    rate: f64,
    half_life: Millis,
) -> f64 {
    // The variance of a decayed sum of random arrivals is half of its mean.
    let variance = rate * std::f64::consts::LN_2 / half_life.as_secs_f64() / 2.0;
    variance.sqrt() * TREND_DEVIATIONS
}
