use {
    super::{
        Attempt, Delivery, ForwardAction as Action, ForwardEvent as Event, ForwardPlan, Head, Part,
        PartKind, Repeat, RouteCause, progress::Progress, state::State,
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Execution, Refusal},
        ids::UpstreamId,
    },
};

/// State machine that forwards one request, with retries and stream resumption.
#[derive(Clone, Debug)]
pub struct ForwardMachine {
    pub(super) plan: ForwardPlan,
    pub(super) state: State,
    pub(super) attempt: Attempt,
    pub(super) upstream: Option<UpstreamId>,
    pub(super) is_resumable: bool,
    /// Whether an earlier attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) delivered: Progress,
    /// Attempts that ended without a complete response.
    pub(super) failed_attempts: u32,
    /// Consecutive resumptions without progress.
    pub(super) failed_resumptions: u32,
    pub(super) last_activity: Millis,
    pub(super) is_caller_slow: bool,
}

impl ForwardMachine {
    /// Creates a machine and returns it with its first action.
    pub fn new(
        plan: ForwardPlan,
        now: Millis,
    ) -> (Self, Action) {
        let attempt = Attempt(1);
        let machine = Self {
            plan,
            state: State::Routing,
            attempt,
            upstream: None,
            is_resumable: false,
            may_have_run: false,
            delivered: Progress::default(),
            failed_attempts: 0,
            failed_resumptions: 0,
            last_activity: now,
            is_caller_slow: false,
        };
        let route = Action::Route {
            attempt,
            avoid: None,
            cause: RouteCause::First,
        };
        (machine, route)
    }

    /// Whether forwarding has ended.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Number of tokens delivered so far.
    pub const fn offset(&self) -> u64 {
        self.delivered.offset()
    }

    /// Whether an upstream may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.state.is_in_flight()
    }

    /// When [`Event::Timer`] is due; `None` if forwarding has ended.
    pub fn wake_at(&self) -> Option<Millis> {
        let limit = match self.state {
            State::Done => return None,
            State::WaitingToResume { until } => Some(until),
            State::Sent | State::Resuming => self.head_deadline(),
            State::Receiving => self.part_deadline(),
            State::Routing => None,
        };
        Some(limit.map_or(self.plan.deadline, |limit| limit.min(self.plan.deadline)))
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(
        &mut self,
        event: Event,
        now: Millis,
    ) -> Vec<Action> {
        match event {
            _ if self.state == State::Done => Vec::new(),
            Event::Routed { attempt, upstream } if self.is_waiting_for(attempt, State::Routing) => {
                self.handle_routed(upstream, now)
            }
            Event::RouteRefused { attempt, refusal }
                if self.is_waiting_for(attempt, State::Routing) =>
            {
                self.refuse(refusal)
            }
            Event::Unreachable { attempt } if attempt == self.attempt => {
                self.handle_unreachable(now)
            }
            Event::Head { attempt, head } if attempt == self.attempt => self.handle_head(head, now),
            Event::Part { attempt, part } if self.is_waiting_for(attempt, State::Receiving) => {
                self.handle_part(part, now)
            }
            Event::End {
                attempt,
                generated_tokens,
            } if self.is_waiting_for(attempt, State::Receiving) => {
                self.handle_end(generated_tokens, now)
            }
            Event::Lost { attempt } if attempt == self.attempt => self.handle_connection_lost(now),
            Event::CallerSlow => {
                self.is_caller_slow = true;
                Vec::new()
            }
            Event::CallerReady => {
                self.is_caller_slow = false;
                self.last_activity = now;
                Vec::new()
            }
            Event::CallerGone => self.handle_caller_gone(),
            Event::KeyWithdrawn => self.handle_key_withdrawn(),
            Event::Stopping => self.handle_shutdown(),
            Event::Timer => self.handle_timer(now),
            // Late events of an earlier attempt.
            _ => Vec::new(),
        }
    }

    fn is_waiting_for(
        &self,
        attempt: Attempt,
        state: State,
    ) -> bool {
        attempt == self.attempt && state == self.state
    }

    fn head_deadline(&self) -> Option<Millis> {
        self.plan.head_deadline(self.last_activity)
    }

    fn part_deadline(&self) -> Option<Millis> {
        self.plan
            .part_deadline(self.last_activity)
            .filter(|_| !self.is_caller_slow)
    }

    fn handle_routed(
        &mut self,
        upstream: UpstreamId,
        now: Millis,
    ) -> Vec<Action> {
        self.upstream = Some(upstream);
        self.state = State::Sent;
        self.is_resumable = false;
        self.last_activity = now;
        // A pooled connection may already be closed by the peer, so only the first attempt of an
        // idempotent request uses one.
        let fresh = self.plan.repeat == Repeat::Once || self.failed_attempts > 0;
        vec![Action::Send {
            attempt: self.attempt,
            fresh,
        }]
    }

    fn handle_unreachable(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        match self.state {
            State::Sent => {
                self.state = State::Routing;
                self.route_again(RouteCause::NotRun, ErrorKind::UpstreamUnreachable)
            }
            State::Resuming => self.resume_later(now),
            _ => Vec::new(),
        }
    }

    fn handle_head(
        &mut self,
        head: Head,
        now: Millis,
    ) -> Vec<Action> {
        match (self.state, head) {
            (State::Sent, Head::Accepted { resumable }) => {
                self.state = State::Receiving;
                self.is_resumable = resumable;
                self.last_activity = now;
                Vec::new()
            }
            (State::Resuming, Head::Accepted { .. }) => {
                self.state = State::Receiving;
                self.last_activity = now;
                Vec::new()
            }
            (State::Sent, Head::NotLoaded | Head::Busy) => {
                self.state = State::Routing;
                self.route_again(RouteCause::NotRun, ErrorKind::NoUpstream)
            }
            (State::Sent, Head::Rejected) => {
                self.state = State::Routing;
                self.refuse(Refusal::new(ErrorKind::BadRequest))
            }
            (State::Sent, Head::WrongRequest) if self.plan.repeat == Repeat::Once => {
                self.refuse(Refusal::new(ErrorKind::UpstreamInvalid))
            }
            (State::Sent, Head::StreamGone | Head::Failed | Head::WrongRequest) => self.run_again(),
            (State::Resuming, Head::WrongRequest | Head::Busy | Head::Failed) => {
                self.resume_later(now)
            }
            (State::Resuming, Head::StreamGone | Head::NotLoaded | Head::Rejected) => {
                self.run_again()
            }
            _ => Vec::new(),
        }
    }

    fn handle_part(
        &mut self,
        part: Part,
        now: Millis,
    ) -> Vec<Action> {
        self.last_activity = now;
        let is_new = self.delivered.record(part);
        if is_new && part.kind == PartKind::Tokens {
            self.failed_resumptions = 0;
        }
        if is_new {
            vec![Action::Deliver(part)]
        } else {
            Vec::new()
        }
    }

    fn handle_end(
        &mut self,
        generated_tokens: Option<u64>,
        now: Millis,
    ) -> Vec<Action> {
        match generated_tokens {
            // Tokens were lost in transit; the engine still has them.
            Some(generated_tokens) if generated_tokens > self.offset() => {
                self.handle_connection_lost(now)
            }
            Some(generated_tokens) if generated_tokens < self.offset() => {
                self.fail(ErrorKind::UpstreamInvalid)
            }
            _ => {
                self.finish();
                vec![Action::Finish]
            }
        }
    }

    pub(super) fn fail(
        &mut self,
        kind: ErrorKind,
    ) -> Vec<Action> {
        self.refuse(Refusal::new(kind))
    }

    /// Ends the request with an error, which claims "not run" only if nothing can have run.
    fn refuse(
        &mut self,
        refusal: Refusal,
    ) -> Vec<Action> {
        let is_in_flight = self.state.is_in_flight();
        let claims_not_run = refusal.kind.answer().execution == Execution::NotRun;
        let refusal = if claims_not_run && self.may_have_run() {
            Refusal::new(ErrorKind::UpstreamLost)
        } else {
            refusal
        };
        let mut actions = vec![Action::Abandon];
        if is_in_flight {
            actions.push(Action::Cancel);
        }
        actions.push(if self.has_begun() {
            Action::Break(refusal.kind)
        } else {
            Action::Refuse(refusal)
        });
        self.finish();
        actions
    }

    /// Enters the final state and keeps whether the request may have run.
    fn finish(&mut self) {
        self.may_have_run = self.may_have_run();
        self.state = State::Done;
    }

    /// Whether any part of a response has reached the caller.
    const fn has_begun(&self) -> bool {
        matches!(self.plan.delivery, Delivery::Streamed) && self.delivered.has_begun()
    }

    fn handle_caller_gone(&mut self) -> Vec<Action> {
        let is_in_flight = self.state.is_in_flight();
        self.finish();
        if is_in_flight {
            vec![Action::Abandon, Action::Cancel]
        } else {
            vec![Action::Abandon]
        }
    }

    fn handle_key_withdrawn(&mut self) -> Vec<Action> {
        if self.may_have_run() {
            self.fail(ErrorKind::KeyWithdrawnMidway)
        } else {
            self.fail(ErrorKind::KeyWithdrawn)
        }
    }

    fn handle_shutdown(&mut self) -> Vec<Action> {
        if self.has_begun() {
            self.fail(ErrorKind::AnswerCut)
        } else {
            self.fail(ErrorKind::ShuttingDown)
        }
    }

    fn handle_timer(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        let due = |limit: Option<Millis>| limit.is_some_and(|limit| now >= limit);
        match self.state {
            _ if now >= self.plan.deadline && self.may_have_run() => {
                self.fail(ErrorKind::DeadlineExceeded)
            }
            _ if now >= self.plan.deadline => self.fail(ErrorKind::CannotMeetDeadline),
            State::WaitingToResume { until } if now >= until => self.send_resumption(now),
            State::Sent | State::Resuming if due(self.head_deadline()) => {
                self.handle_connection_lost(now)
            }
            State::Receiving if due(self.part_deadline()) => self.handle_connection_lost(now),
            _ => Vec::new(),
        }
    }
}
