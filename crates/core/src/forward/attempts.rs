use super::Repeat;

/// Most attempts of one request that end without a run.
///
/// More of them mean that the fault is not at the upstreams.
const MAX_NOT_RUN: u32 = 4;

/// Outcome of an attempt that returned no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It did not run: nothing was sent, or the upstream said so.
    NotRun,
    /// It may have run, partly or completely.
    MayHaveRun,
}

/// Counts the attempts of a request and decides whether another one is allowed.
///
/// A request that is not idempotent is retried only if it is known not to have run. An idempotent one
/// runs at no more upstreams than its route allows.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    repeat: Repeat,
    max_runs: u32,
    runs: u32,
    not_run: u32,
}

impl Attempts {
    /// Starts counting for a request that may run at up to `max_runs` upstreams.
    pub const fn new(
        repeat: Repeat,
        max_runs: u32,
    ) -> Self {
        Self {
            repeat,
            max_runs,
            runs: 0,
            not_run: 0,
        }
    }

    /// Number of the next attempt, starting at 1.
    pub const fn next_attempt(&self) -> u32 {
        self.runs + self.not_run + 1
    }

    /// Records how an attempt ended and returns whether another one is allowed.
    pub const fn record_end(
        &mut self,
        end: AttemptEnd,
    ) -> bool {
        match end {
            AttemptEnd::NotRun => {
                self.not_run += 1;
                self.not_run < MAX_NOT_RUN && self.can_run()
            }
            AttemptEnd::MayHaveRun => {
                self.runs += 1;
                self.can_run()
            }
        }
    }

    /// Whether another attempt is allowed beside this many that are in flight.
    pub const fn can_run_beside(
        &self,
        in_flight: u32,
    ) -> bool {
        matches!(self.repeat, Repeat::Idempotent) && self.runs + in_flight < self.max_runs
    }

    /// Whether an upstream may have run the request.
    pub const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    const fn can_run(&self) -> bool {
        match self.repeat {
            Repeat::Once => self.runs == 0,
            Repeat::Idempotent => self.runs < self.max_runs,
        }
    }
}
