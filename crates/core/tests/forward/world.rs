use {
    bolero::TypeGenerator,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Execution, Refusal},
        forward::{
            Attempt, Delivery, ForwardAction as Action, ForwardEvent as Event, ForwardMachine,
            ForwardPlan, Head, Part, PartKind, Repeat,
        },
        ids::UpstreamId,
    },
};

/// Number of tokens of a complete response.
const TOKENS: u64 = 6;
const DEADLINE: Millis = Millis(60_000);
/// Probability, out of 256, of events that would otherwise end most sequences early.
const OCCASIONAL: u8 = 64;
/// Lower probability, out of 256, of events that end a sequence.
const RARE: u8 = 16;

/// A generated event; the argument of rare events decides whether they happen.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
pub enum Op {
    /// The router replies to the pending route request, rarely with a refusal.
    Route(u8),
    /// The newest connection delivers its next item: head, part or end.
    Advance,
    /// The same, four times.
    AdvanceMuch,
    /// Any connection delivers its next item.
    AdvanceOld(u8),
    /// The same, four times.
    AdvanceOldMuch(u8),
    /// The upstream ends its response too early, rarely.
    EndEarly(u8),
    /// A connection repeats parts that it has delivered.
    Repeat(u8),
    /// A connection breaks, occasionally.
    Lose(u8),
    /// The newest connection can't be established, occasionally.
    Unreachable(u8),
    /// The newest connection delivers the head of a failure, occasionally.
    WrongHead(u8),
    /// The engines restart and lose their streams, rarely.
    Restart(u8),
    /// Time advances by 0 to 1200 ms.
    Wait(u8),
    /// The caller stops or resumes reading.
    Read { slow: bool },
    /// The caller disconnects, rarely.
    Gone(u8),
    /// The API key is withdrawn, rarely.
    Withdraw(u8),
    /// The daemon shuts down, rarely.
    Stop(u8),
}

/// One run of the request at an engine; each run generates different tokens.
#[derive(Clone, Copy, Debug)]
struct Run {
    is_alive: bool,
}

/// A connection opened by the machine.
#[derive(Clone, Copy, Debug)]
struct Connection {
    attempt: Attempt,
    run: Option<usize>,
    is_resumption: bool,
    has_head: bool,
    next: u64,
    is_closed: bool,
}

/// What the caller has received.
#[derive(Clone, Debug, PartialEq)]
enum Caller {
    Waiting,
    Complete,
    Refused(Refusal),
    Broken(ErrorKind),
    Gone,
}

/// Simulates one request and checks the actions of its machine.
pub struct World {
    machine: ForwardMachine,
    plan: ForwardPlan,
    now: Millis,
    pending_route: Option<Attempt>,
    runs: Vec<Run>,
    connections: Vec<Connection>,
    /// The run and token of each delivered part.
    delivered_tokens: Vec<(usize, u64)>,
    openings: u32,
    caller: Caller,
}

impl World {
    pub fn new(
        repeat: Repeat,
        delivery: Delivery,
    ) -> Self {
        let plan = ForwardPlan {
            repeat,
            delivery,
            deadline: DEADLINE,
            head_timeout: Millis(1_000),
            part_timeout: Millis(1_000),
            max_attempts: 3,
        };
        let (machine, first) = ForwardMachine::new(plan, Millis(1));
        let Action::Route { attempt, .. } = first else {
            panic!("{first:?}");
        };
        Self {
            machine,
            plan,
            now: Millis(1),
            pending_route: Some(attempt),
            runs: Vec::new(),
            connections: Vec::new(),
            delivered_tokens: Vec::new(),
            openings: 0,
            caller: Caller::Waiting,
        }
    }

    pub fn apply(
        &mut self,
        op: Op,
    ) {
        let newest = self.connections.len().wrapping_sub(1);
        let pick = |n: u8| (n as usize).checked_rem(self.connections.len());
        match op {
            Op::Route(n) => self.route(n < RARE),
            Op::Advance => self.advance(newest),
            Op::AdvanceMuch => (0..4).for_each(|_| self.advance(newest)),
            Op::AdvanceOld(n) => drop(pick(n).map(|index| self.advance(index))),
            Op::AdvanceOldMuch(n) => {
                let indices = pick(n).into_iter().flat_map(|index| [index; 4]);
                indices.for_each(|index| self.advance(index));
            }
            Op::EndEarly(n) if n < RARE => self.end_early(newest),
            Op::Repeat(n) => drop(pick(n).map(|index| self.repeat(index))),
            Op::Lose(n) if n < OCCASIONAL => drop(pick(n).map(|index| self.lose(index))),
            Op::Unreachable(n) if n < OCCASIONAL => self.unreachable(newest),
            Op::WrongHead(n) if n < OCCASIONAL => self.wrong_head(newest, n),
            Op::Restart(n) if n < RARE => self.runs.iter_mut().for_each(|run| run.is_alive = false),
            Op::Wait(n) => self.wait(Millis(u64::from(n % 4) * 400)),
            Op::Read { slow: true } => self.handle_event(Event::CallerSlow, None),
            Op::Read { slow: false } => self.handle_event(Event::CallerReady, None),
            Op::Gone(n) if n < RARE / 2 => {
                self.handle_event(Event::CallerGone, None);
                if self.caller == Caller::Waiting {
                    self.caller = Caller::Gone;
                }
            }
            Op::Withdraw(n) if n < RARE / 2 => {
                self.handle_event(Event::KeyWithdrawn, None);
                assert!(
                    self.machine.is_done(),
                    "the request continues with a withdrawn key"
                );
            }
            Op::Stop(n) if n < RARE / 4 => {
                self.handle_event(Event::Stopping, None);
                assert!(
                    self.machine.is_done(),
                    "the request continues after a shutdown"
                );
            }
            _ => {}
        }
    }

    /// Advances the time to the deadline and checks that the request has ended.
    pub fn run_to_deadline(&mut self) {
        self.wait(DEADLINE);
        assert!(self.machine.is_done(), "{:?}", self.machine);
        assert_ne!(self.caller, Caller::Waiting, "the caller got no outcome");
    }

    pub fn is_complete(&self) -> bool {
        self.caller == Caller::Complete
    }

    fn route(
        &mut self,
        refused: bool,
    ) {
        let Some(attempt) = self.pending_route.take() else {
            return;
        };
        if refused {
            let refusal = Refusal::new(ErrorKind::NoUpstream);
            self.handle_event(Event::RouteRefused { attempt, refusal }, None);
        } else {
            let upstream = UpstreamId(attempt.0);
            self.handle_event(Event::Routed { attempt, upstream }, None);
        }
    }

    /// Delivers the next item of a connection: its head, a part or the end.
    fn advance(
        &mut self,
        index: usize,
    ) {
        let Some(connection) = self.connections.get_mut(index).filter(|c| !c.is_closed) else {
            return;
        };
        let attempt = connection.attempt;
        let is_alive = connection.run.is_some_and(|run| self.runs[run].is_alive);
        if !connection.has_head {
            connection.has_head = true;
            // The upstream has responded, so the request has run.
            if connection.run.is_none() {
                self.runs.push(Run { is_alive: true });
                connection.run = Some(self.runs.len() - 1);
            }
            let head = match (connection.is_resumption, is_alive) {
                (true, false) => Head::StreamGone,
                _ => Head::Accepted { resumable: true },
            };
            connection.is_closed = head == Head::StreamGone;
            self.handle_event(Event::Head { attempt, head }, Some(index));
            return;
        }
        let next = connection.next;
        connection.next += 1;
        let (offset, kind) = match next {
            0 => (0, PartKind::Opening),
            n if n <= TOKENS => (n, PartKind::Tokens),
            n if n == TOKENS + 1 => (TOKENS, PartKind::Finish),
            n if n == TOKENS + 2 => (TOKENS, PartKind::Usage),
            _ => {
                let generated_tokens = Some(TOKENS);
                self.handle_event(
                    Event::End {
                        attempt,
                        generated_tokens,
                    },
                    Some(index),
                );
                return;
            }
        };
        if is_alive {
            let part = Part { offset, kind };
            self.handle_event(Event::Part { attempt, part }, Some(index));
        } else {
            self.lose(index);
        }
    }

    fn end_early(
        &mut self,
        index: usize,
    ) {
        let connection = self
            .connections
            .get(index)
            .filter(|c| c.has_head && !c.is_closed);
        if let Some(attempt) = connection.map(|connection| connection.attempt) {
            let generated_tokens = Some(TOKENS);
            self.handle_event(
                Event::End {
                    attempt,
                    generated_tokens,
                },
                Some(index),
            );
        }
    }

    fn repeat(
        &mut self,
        index: usize,
    ) {
        let connection = &mut self.connections[index];
        connection.next = connection.next.saturating_sub(2);
    }

    fn lose(
        &mut self,
        index: usize,
    ) {
        let connection = &mut self.connections[index];
        if connection.is_closed {
            return;
        }
        let attempt = connection.attempt;
        connection.is_closed = true;
        // Assumes the worst case: the request ran before the connection was lost.
        if connection.run.is_none() {
            self.runs.push(Run { is_alive: true });
        }
        self.handle_event(Event::Lost { attempt }, Some(index));
    }

    fn unreachable(
        &mut self,
        index: usize,
    ) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        let attempt = connection.attempt;
        let is_unsent = !connection.has_head && !connection.is_closed;
        if is_unsent && (connection.run.is_none() || connection.is_resumption) {
            connection.is_closed = true;
            self.handle_event(Event::Unreachable { attempt }, Some(index));
        }
    }

    fn wrong_head(
        &mut self,
        index: usize,
        n: u8,
    ) {
        let Some(connection) = self.connections.get_mut(index) else {
            return;
        };
        if connection.has_head || connection.is_closed {
            return;
        }
        let attempt = connection.attempt;
        let heads = [
            Head::NotLoaded,
            Head::Busy,
            Head::Failed,
            Head::WrongRequest,
        ];
        let head = heads[n as usize % heads.len()];
        connection.is_closed = true;
        if matches!(head, Head::Failed | Head::WrongRequest) && connection.run.is_none() {
            self.runs.push(Run { is_alive: true });
        }
        self.handle_event(Event::Head { attempt, head }, Some(index));
    }

    /// Advances the time and fires the machine's timer when it is due.
    fn wait(
        &mut self,
        time: Millis,
    ) {
        let until = self.now + time;
        let mut wakes = 0;
        while let Some(wake) = self.machine.wake_at().filter(|&wake| wake <= until) {
            wakes += 1;
            assert!(wakes < 1_000, "the timer fires again without progress");
            self.now = self.now.max(wake);
            self.handle_event(Event::Timer, None);
        }
        self.now = until;
    }

    fn handle_event(
        &mut self,
        event: Event,
        from: Option<usize>,
    ) {
        let was_done = self.machine.is_done();
        let actions = self.machine.handle(event, self.now);
        assert!(!was_done || actions.is_empty(), "{actions:?} after the end");
        for action in actions {
            self.check_action(action, from);
        }
    }

    fn check_action(
        &mut self,
        action: Action,
        from: Option<usize>,
    ) {
        match action {
            Action::Route { attempt, .. } => self.pending_route = Some(attempt),
            Action::Send { attempt, fresh } => self.check_send(attempt, fresh),
            Action::Resume { attempt, offset } => {
                let run = self.connections.last().and_then(|last| last.run);
                assert!(run.is_some(), "resumes a stream that never began");
                self.connections.push(Connection {
                    attempt,
                    run,
                    is_resumption: true,
                    has_head: false,
                    next: offset + 1,
                    is_closed: false,
                });
            }
            Action::Discard => {
                assert_eq!(
                    self.plan.delivery,
                    Delivery::Buffered,
                    "discards parts that were delivered"
                );
                self.delivered_tokens.clear();
                self.openings = 0;
            }
            Action::Deliver(part) => self.check_part(part, from),
            Action::Finish => {
                let run = self.delivered_tokens.first().map(|&(run, _)| run);
                let complete: Vec<_> = (1..=TOKENS).map(|n| (run.unwrap_or(0), n)).collect();
                assert_eq!(
                    self.delivered_tokens, complete,
                    "an incomplete or mixed response ended as complete"
                );
                self.end(Caller::Complete);
            }
            Action::Refuse(refusal) => {
                let execution = refusal.kind.answer().execution;
                if execution == Execution::NotRun {
                    assert!(self.runs.is_empty(), "{refusal:?} after {:?}", self.runs);
                }
                let begun = self.plan.delivery == Delivery::Streamed
                    && (!self.delivered_tokens.is_empty() || self.openings > 0);
                assert!(!begun, "a second response after a partial one");
                self.end(Caller::Refused(refusal));
            }
            Action::Break(kind) => {
                assert_eq!(self.plan.delivery, Delivery::Streamed);
                assert_ne!(kind.answer().execution, Execution::NotRun);
                self.end(Caller::Broken(kind));
            }
            Action::Abandon | Action::Cancel => {}
        }
    }

    fn check_send(
        &mut self,
        attempt: Attempt,
        fresh: bool,
    ) {
        if self.plan.repeat == Repeat::Once {
            assert!(
                fresh,
                "a pooled connection for a request that is not idempotent"
            );
            assert!(self.runs.is_empty(), "sent again after it may have run");
            let open = self.connections.iter().filter(|c| !c.is_closed).count();
            assert_eq!(open, 0, "sent on two connections at the same time");
        }
        self.connections.push(Connection {
            attempt,
            run: None,
            is_resumption: false,
            has_head: false,
            next: 0,
            is_closed: false,
        });
    }

    fn check_part(
        &mut self,
        part: Part,
        from: Option<usize>,
    ) {
        let run = from.and_then(|index| self.connections[index].run);
        let run = run.expect("a part comes from a connection with a run");
        match part.kind {
            PartKind::Opening => {
                self.openings += 1;
                assert_eq!(self.openings, 1, "two openings in one response");
            }
            PartKind::Tokens => {
                let expected = self.delivered_tokens.len() as u64 + 1;
                assert_eq!(part.offset, expected, "a token is repeated or missing");
                let first = self
                    .delivered_tokens
                    .first()
                    .map_or(run, |&(first, _)| first);
                assert_eq!(first, run, "tokens of two runs in one response");
                self.delivered_tokens.push((run, part.offset));
            }
            PartKind::Finish | PartKind::Usage => {}
        }
    }

    fn end(
        &mut self,
        caller: Caller,
    ) {
        assert_eq!(self.caller, Caller::Waiting, "the caller got two outcomes");
        self.caller = caller;
    }
}
