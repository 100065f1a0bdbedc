//! Handling of failed attempts: stream resumption, retry or failure.

use {
    super::{
        Delivery, ForwardAction as Action, ForwardMachine, Repeat, RouteCause, progress::Progress,
        state::State,
    },
    crate::{clock::Millis, error::ErrorKind},
};

/// Base delay before a resumption that follows a failed one; doubles with each failure.
const RESUME_PAUSE: Millis = Millis(100);

impl ForwardMachine {
    pub(super) fn lost(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        match self.state {
            State::Answering | State::Resuming if self.resumable => self.resume(now),
            State::Sent | State::Answering | State::Resuming => self.run_anew(),
            _ => Vec::new(),
        }
    }

    /// Resumes the stream, immediately after progress and with a delay after a failed resumption.
    pub(super) fn resume(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        match self.failures {
            0 => {
                self.failures = 1;
                self.send_resumption(now)
            }
            _ => self.resume_later(now),
        }
    }

    pub(super) fn send_resumption(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        self.attempt = self.attempt.next();
        self.state = State::Resuming;
        self.heard_at = now;
        let resume = Action::Resume {
            attempt: self.attempt,
            offset: self.offset(),
        };
        vec![Action::Abandon, resume]
    }

    pub(super) fn resume_later(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        self.failures += 1;
        if self.failures > self.plan.max_attempts {
            return self.run_anew();
        }
        let pause = Millis(RESUME_PAUSE.0 << self.failures.min(8));
        self.attempt = self.attempt.next();
        self.state = State::Pausing { until: now + pause };
        vec![Action::Abandon]
    }

    /// Runs the request again from its start at another upstream if that is allowed.
    pub(super) fn run_anew(&mut self) -> Vec<Action> {
        self.may_have_run = true;
        match (self.plan.repeat, self.plan.delivery) {
            (Repeat::Once, _) => self.fail(ErrorKind::UpstreamLost),
            (Repeat::Idempotent, Delivery::Streamed) if self.passed_on.has_content() => {
                self.fail(ErrorKind::AnswerCut)
            }
            (Repeat::Idempotent, _) => self.again(RouteCause::MayHaveRun, ErrorKind::UpstreamLost),
        }
    }

    /// Chooses another upstream, or fails with `kind` after too many attempts.
    pub(super) fn again(
        &mut self,
        cause: RouteCause,
        kind: ErrorKind,
    ) -> Vec<Action> {
        self.runs += 1;
        if self.runs >= self.plan.max_attempts {
            return self.fail(kind);
        }
        let mut actions = vec![Action::Abandon];
        if cause == RouteCause::MayHaveRun {
            actions.push(Action::Cancel);
        }
        // A streamed response has delivered at most its opening, which is not repeated.
        if self.plan.delivery == Delivery::Whole {
            actions.push(Action::Discard);
            self.passed_on = Progress::default();
        }
        self.failures = 0;
        self.attempt = self.attempt.next();
        self.state = State::Routing;
        actions.push(Action::Route {
            attempt: self.attempt,
            avoid: self.upstream,
            cause,
        });
        actions
    }
}
