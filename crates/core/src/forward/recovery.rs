//! Handling of failed attempts: stream resumption, retry or failure.

use {
    super::{
        Delivery, ForwardAction as Action, ForwardMachine, Repeat, RouteCause, progress::Progress,
        state::State,
    },
    crate::{clock::Millis, error::ErrorKind},
};

/// Base delay before a resumption that follows a failed one; doubles with each failure.
const RESUME_DELAY: Millis = Millis(100);

impl ForwardMachine {
    pub(super) fn handle_connection_lost(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        match self.state {
            State::Receiving | State::Resuming if self.is_resumable => self.resume(now),
            State::Sent | State::Receiving | State::Resuming => self.run_again(),
            _ => Vec::new(),
        }
    }

    /// Resumes the stream, immediately after progress and with a delay after a failed resumption.
    pub(super) fn resume(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        match self.failed_resumptions {
            0 => {
                self.failed_resumptions = 1;
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
        self.last_activity = now;
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
        self.failed_resumptions += 1;
        if self.failed_resumptions > self.plan.max_attempts {
            return self.run_again();
        }
        let delay = Millis(RESUME_DELAY.0 << self.failed_resumptions.min(8));
        self.attempt = self.attempt.next();
        self.state = State::WaitingToResume { until: now + delay };
        vec![Action::Abandon]
    }

    /// Runs the request again from its start at another upstream if that is allowed.
    pub(super) fn run_again(&mut self) -> Vec<Action> {
        self.may_have_run = true;
        match (self.plan.repeat, self.plan.delivery) {
            (Repeat::Once, _) => self.fail(ErrorKind::UpstreamLost),
            (Repeat::Idempotent, Delivery::Streamed) if self.delivered.has_content() => {
                self.fail(ErrorKind::AnswerCut)
            }
            (Repeat::Idempotent, _) => {
                self.route_again(RouteCause::MayHaveRun, ErrorKind::UpstreamLost)
            }
        }
    }

    /// Chooses another upstream, or fails with `kind` after too many attempts.
    pub(super) fn route_again(
        &mut self,
        cause: RouteCause,
        kind: ErrorKind,
    ) -> Vec<Action> {
        self.failed_attempts += 1;
        if self.failed_attempts >= self.plan.max_attempts {
            return self.fail(kind);
        }
        let mut actions = vec![Action::Abandon];
        if cause == RouteCause::MayHaveRun {
            actions.push(Action::Cancel);
        }
        // A streamed response has delivered at most its opening, which is not repeated.
        if self.plan.delivery == Delivery::Buffered {
            actions.push(Action::Discard);
            self.delivered = Progress::default();
        }
        self.failed_resumptions = 0;
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
