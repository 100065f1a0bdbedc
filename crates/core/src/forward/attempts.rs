use super::Repeat;

/// Attempts of one request that ended without a run; more of them than this mean that the fault is elsewhere.
const MAX_NOT_RUN: u32 = 4;

/// What became of an attempt that brought no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It certainly did not run: nothing was sent, or the upstream said so.
    NotRun,
    /// It may have run, in part or whole.
    MayHaveRun,
}

/// How often a request may be sent, and what is known about its having run.
///
/// A request that may not be repeated goes on only after proof that it did not run. One that may be is
/// run at no more upstreams than its route allows.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    repeat: Repeat,
    most_runs: u32,
    runs: u32,
    not_run: u32,
}

impl Attempts {
    /// The attempts of a request that may run at `most_runs` upstreams.
    pub const fn new(
        repeat: Repeat,
        most_runs: u32,
    ) -> Self {
        Self {
            repeat,
            most_runs,
            runs: 0,
            not_run: 0,
        }
    }

    /// Which attempt is next, from 1 up.
    pub const fn next_number(&self) -> u32 {
        self.runs + self.not_run + 1
    }

    /// Notes how an attempt ended and says whether there may be another one.
    pub const fn note(
        &mut self,
        end: AttemptEnd,
    ) -> bool {
        match end {
            AttemptEnd::NotRun => {
                self.not_run += 1;
                self.not_run < MAX_NOT_RUN && self.may_run()
            }
            AttemptEnd::MayHaveRun => {
                self.runs += 1;
                self.may_run()
            }
        }
    }

    /// Whether an attempt that may have run could be followed by another one.
    pub const fn may_follow_a_run(&self) -> bool {
        matches!(self.repeat, Repeat::Idempotent) && self.runs + 1 < self.most_runs
    }

    /// Whether an upstream may have run the request.
    pub const fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    const fn may_run(&self) -> bool {
        match self.repeat {
            Repeat::Once => self.runs == 0,
            Repeat::Idempotent => self.runs < self.most_runs,
        }
    }
}
