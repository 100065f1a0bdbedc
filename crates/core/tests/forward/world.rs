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

/// Tokens of a whole answer.
const TOKENS: u64 = 6;
const DEADLINE: Millis = Millis(60_000);
/// Of 256: how often something happens that would otherwise end most orders early.
const NOW_AND_THEN: u8 = 64;
/// The same, rarer.
const SELDOM: u8 = 16;

/// Something that happens.
#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
pub enum Op {
    /// The brain answers the open question for a route, seldom with a refusal.
    Route(u8),
    /// The newest connection gets on: head, parts, end.
    Advance,
    /// The same, four times.
    AdvanceMuch,
    /// An older connection gets on.
    AdvanceOld(u8),
    /// The same, four times.
    AdvanceOldMuch(u8),
    /// The upstream ends its answer too early, seldom.
    EndEarly(u8),
    /// A part that was told before is told again.
    Repeat(u8),
    /// A connection breaks, now and then.
    Lose(u8),
    /// The newest connection never came about, now and then.
    Unreachable(u8),
    /// The newest connection's answer is not the one that was asked for, now and then.
    WrongHead(u8),
    /// The engines restart, seldom: their streams are gone.
    Restart(u8),
    /// Time passes: an instant, a gap, or more.
    Wait(u8),
    /// The caller stops or begins to read.
    Read { slow: bool },
    /// The caller goes, seldom.
    Gone(u8),
    /// The key is withdrawn, seldom.
    Withdraw(u8),
    /// The daemon stops, seldom.
    Stop(u8),
}

/// One run of the request at an engine; each makes other tokens.
#[derive(Clone, Copy, Debug)]
struct Run {
    alive: bool,
}

/// One connection, as the machine opened it.
#[derive(Clone, Copy, Debug)]
struct Connection {
    attempt: Attempt,
    run: Option<usize>,
    resumes: bool,
    headed: bool,
    next: u64,
    dead: bool,
}

/// What the caller has.
#[derive(Clone, Debug, PartialEq)]
enum Caller {
    Waiting,
    Whole,
    Refused(Refusal),
    Broken(ErrorKind),
    Gone,
}

/// The world and its observer.
pub struct World {
    machine: ForwardMachine,
    plan: ForwardPlan,
    now: Millis,
    asked: Option<Attempt>,
    runs: Vec<Run>,
    connections: Vec<Connection>,
    /// The run and token of each part that was passed on.
    passed_on: Vec<(usize, u64)>,
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
            head_gap: Millis(1_000),
            part_gap: Millis(1_000),
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
            asked: Some(attempt),
            runs: Vec::new(),
            connections: Vec::new(),
            passed_on: Vec::new(),
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
            Op::Route(n) => self.route(n < SELDOM),
            Op::Advance => self.advance(newest),
            Op::AdvanceMuch => (0..4).for_each(|_| self.advance(newest)),
            Op::AdvanceOld(n) => drop(pick(n).map(|place| self.advance(place))),
            Op::AdvanceOldMuch(n) => {
                let places = pick(n).into_iter().flat_map(|place| [place; 4]);
                places.for_each(|place| self.advance(place));
            }
            Op::EndEarly(n) if n < SELDOM => self.end_early(newest),
            Op::Repeat(n) => drop(pick(n).map(|place| self.repeat(place))),
            Op::Lose(n) if n < NOW_AND_THEN => drop(pick(n).map(|place| self.lose(place))),
            Op::Unreachable(n) if n < NOW_AND_THEN => self.unreachable(newest),
            Op::WrongHead(n) if n < NOW_AND_THEN => self.wrong_head(newest, n),
            Op::Restart(n) if n < SELDOM => self.runs.iter_mut().for_each(|run| run.alive = false),
            Op::Wait(n) => self.wait(Millis(u64::from(n % 4) * 400)),
            Op::Read { slow: true } => self.tell(Event::CallerSlow, None),
            Op::Read { slow: false } => self.tell(Event::CallerReady, None),
            Op::Gone(n) if n < SELDOM / 2 => {
                self.tell(Event::CallerGone, None);
                if self.caller == Caller::Waiting {
                    self.caller = Caller::Gone;
                }
            }
            Op::Withdraw(n) if n < SELDOM / 2 => {
                self.tell(Event::KeyWithdrawn, None);
                assert!(self.machine.is_done(), "work goes on with a withdrawn key");
            }
            Op::Stop(n) if n < SELDOM / 4 => {
                self.tell(Event::Stopping, None);
                assert!(self.machine.is_done(), "work goes on after the end");
            }
            _ => {}
        }
    }

    /// Lets time pass until nobody waits any more.
    pub fn run_to_deadline(&mut self) {
        self.wait(DEADLINE);
        assert!(self.machine.is_done(), "{:?}", self.machine);
        assert_ne!(self.caller, Caller::Waiting, "nobody has told the caller");
    }

    pub fn is_whole(&self) -> bool {
        self.caller == Caller::Whole
    }

    fn route(
        &mut self,
        refused: bool,
    ) {
        let Some(attempt) = self.asked.take() else {
            return;
        };
        if refused {
            let refusal = Refusal::new(ErrorKind::NoUpstream);
            self.tell(Event::RouteRefused { attempt, refusal }, None);
        } else {
            let upstream = UpstreamId(attempt.0);
            self.tell(Event::Routed { attempt, upstream }, None);
        }
    }

    /// Lets a connection tell the next thing it has to tell.
    fn advance(
        &mut self,
        place: usize,
    ) {
        let Some(connection) = self.connections.get_mut(place).filter(|c| !c.dead) else {
            return;
        };
        let attempt = connection.attempt;
        let alive = connection.run.is_some_and(|run| self.runs[run].alive);
        if !connection.headed {
            connection.headed = true;
            // Bytes have arrived, so the request has been run.
            if connection.run.is_none() {
                self.runs.push(Run { alive: true });
                connection.run = Some(self.runs.len() - 1);
            }
            let head = match (connection.resumes, alive) {
                (true, false) => Head::StreamGone,
                _ => Head::Accepted { resumable: true },
            };
            connection.dead = head == Head::StreamGone;
            self.tell(Event::Head { attempt, head }, Some(place));
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
                let made = Some(TOKENS);
                self.tell(Event::End { attempt, made }, Some(place));
                return;
            }
        };
        if alive {
            let part = Part { offset, kind };
            self.tell(Event::Part { attempt, part }, Some(place));
        } else {
            self.lose(place);
        }
    }

    fn end_early(
        &mut self,
        place: usize,
    ) {
        let connection = self.connections.get(place).filter(|c| c.headed && !c.dead);
        if let Some(attempt) = connection.map(|connection| connection.attempt) {
            let made = Some(TOKENS);
            self.tell(Event::End { attempt, made }, Some(place));
        }
    }

    fn repeat(
        &mut self,
        place: usize,
    ) {
        let connection = &mut self.connections[place];
        connection.next = connection.next.saturating_sub(2);
    }

    fn lose(
        &mut self,
        place: usize,
    ) {
        let connection = &mut self.connections[place];
        if connection.dead {
            return;
        }
        let attempt = connection.attempt;
        connection.dead = true;
        // Whether it ran before it was lost is the engine's secret; the worst is that it did.
        if connection.run.is_none() {
            self.runs.push(Run { alive: true });
        }
        self.tell(Event::Lost { attempt }, Some(place));
    }

    fn unreachable(
        &mut self,
        place: usize,
    ) {
        let Some(connection) = self.connections.get_mut(place) else {
            return;
        };
        let attempt = connection.attempt;
        let nothing_left = !connection.headed && !connection.dead;
        if nothing_left && (connection.run.is_none() || connection.resumes) {
            connection.dead = true;
            self.tell(Event::Unreachable { attempt }, Some(place));
        }
    }

    fn wrong_head(
        &mut self,
        place: usize,
        n: u8,
    ) {
        let Some(connection) = self.connections.get_mut(place) else {
            return;
        };
        if connection.headed || connection.dead {
            return;
        }
        let attempt = connection.attempt;
        let heads = [Head::NotLoaded, Head::Busy, Head::Failed, Head::Crossed];
        let head = heads[n as usize % heads.len()];
        connection.dead = true;
        if matches!(head, Head::Failed | Head::Crossed) && connection.run.is_none() {
            self.runs.push(Run { alive: true });
        }
        self.tell(Event::Head { attempt, head }, Some(place));
    }

    /// Time passes; the timer fires when the machine asked for it.
    fn wait(
        &mut self,
        time: Millis,
    ) {
        let until = self.now + time;
        let mut wakes = 0;
        while let Some(wake) = self.machine.wake_at().filter(|&wake| wake <= until) {
            wakes += 1;
            assert!(wakes < 1_000, "the timer changes nothing");
            self.now = self.now.max(wake);
            self.tell(Event::Timer, None);
        }
        self.now = until;
    }

    fn tell(
        &mut self,
        event: Event,
        from: Option<usize>,
    ) {
        let was_done = self.machine.is_done();
        let actions = self.machine.handle(event, self.now);
        assert!(!was_done || actions.is_empty(), "{actions:?} after the end");
        for action in actions {
            self.observe(action, from);
        }
    }

    fn observe(
        &mut self,
        action: Action,
        from: Option<usize>,
    ) {
        match action {
            Action::Route { attempt, .. } => self.asked = Some(attempt),
            Action::Send { attempt, fresh } => self.sent(attempt, fresh),
            Action::Resume { attempt, offset } => {
                let run = self.connections.last().and_then(|last| last.run);
                assert!(run.is_some(), "resumes what never began");
                self.connections.push(Connection {
                    attempt,
                    run,
                    resumes: true,
                    headed: false,
                    next: offset + 1,
                    dead: false,
                });
            }
            Action::Discard => {
                assert_eq!(self.plan.delivery, Delivery::Whole, "unsaid what was said");
                self.passed_on.clear();
                self.openings = 0;
            }
            Action::Deliver(part) => self.delivered(part, from),
            Action::Finish => {
                let run = self.passed_on.first().map(|&(run, _)| run);
                let whole: Vec<_> = (1..=TOKENS).map(|n| (run.unwrap_or(0), n)).collect();
                assert_eq!(
                    self.passed_on, whole,
                    "a cut or mixed answer passed for whole"
                );
                self.end(Caller::Whole);
            }
            Action::Refuse(refusal) => {
                let execution = refusal.kind.answer().execution;
                if execution == Execution::NotRun {
                    assert!(self.runs.is_empty(), "{refusal:?} after {:?}", self.runs);
                }
                let begun = self.plan.delivery == Delivery::Streamed
                    && (!self.passed_on.is_empty() || self.openings > 0);
                assert!(!begun, "a second answer after a begun one");
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

    fn sent(
        &mut self,
        attempt: Attempt,
        fresh: bool,
    ) {
        if self.plan.repeat == Repeat::Once {
            assert!(
                fresh,
                "a pooled connection for a call that may not be repeated"
            );
            assert!(self.runs.is_empty(), "sent again after it may have run");
            let open = self.connections.iter().filter(|c| !c.dead).count();
            assert_eq!(open, 0, "sent twice at the same time");
        }
        self.connections.push(Connection {
            attempt,
            run: None,
            resumes: false,
            headed: false,
            next: 0,
            dead: false,
        });
    }

    fn delivered(
        &mut self,
        part: Part,
        from: Option<usize>,
    ) {
        let run = from.and_then(|place| self.connections[place].run);
        let run = run.expect("a part comes from a connection with a run");
        match part.kind {
            PartKind::Opening => {
                self.openings += 1;
                assert_eq!(self.openings, 1, "opened twice");
            }
            PartKind::Tokens => {
                let expected = self.passed_on.len() as u64 + 1;
                assert_eq!(part.offset, expected, "a token twice or left out");
                let first = self.passed_on.first().map_or(run, |&(first, _)| first);
                assert_eq!(first, run, "tokens of two runs in one answer");
                self.passed_on.push((run, part.offset));
            }
            PartKind::Finish | PartKind::Usage => {}
        }
    }

    fn end(
        &mut self,
        caller: Caller,
    ) {
        assert_eq!(self.caller, Caller::Waiting, "told twice");
        self.caller = caller;
    }
}
