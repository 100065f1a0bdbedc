//! What may end an answer early, and when: without one of these each request gets a whole answer or a refusal.

use {
    jasmine_platform_stand_in::{Arrival, Behaviour, StreamEnd},
    jasmine_testkit::proxy::{Fault as LinkFault, Link},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// The stop limit of a VM, less the margin in which its process exits.
const STOP_LIMIT: Duration = Duration::from_millis(7_500);
/// From the planned stop of a VM until it closes connections between two requests.
const BALANCER_DRAIN: Duration = Duration::from_millis(2_800);
/// How late callers and this process may note what they see.
pub const NOTE_DELAY: Duration = Duration::from_millis(150);

/// What may end an answer early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Break {
    /// The process of a VM is killed, suspended, down, or beyond its stop limit.
    Process(usize),
    /// A VM closes connections between two requests, as it is being stopped.
    Closing(usize),
    /// The link of a VM's callers loses data or connections.
    CallerLink(usize),
    /// The connections of a VM's callers that are open then never transfer data again.
    CallerConnections(usize),
    /// All links of a VM to upstreams are reset.
    UpstreamLinks(usize),
    /// The link of an upstream closes connections.
    UpstreamLink(String),
}

#[derive(Clone, Debug)]
struct Span {
    what: Break,
    from: Instant,
    /// `None` while it lasts.
    until: Option<Instant>,
}

/// How an upstream handles the request that arrives next after those drawn before.
#[derive(Clone, Debug)]
struct Draw {
    upstream: SocketAddr,
    at: Instant,
    failure: Option<Failure>,
}

/// How the answer of an upstream fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Failure {
    /// It ends early or is invalid.
    BrokenOff,
    /// It never goes on.
    Hung,
}

/// The breaks of a run so far.
#[derive(Clone, Debug, Default)]
pub struct Breaks {
    spans: Vec<Span>,
    draws: Vec<Draw>,
}

impl Breaks {
    /// Adds a break that begins now, and lasts if no time is given.
    pub fn add(
        &mut self,
        what: Break,
        time: Option<Duration>,
    ) {
        let from = Instant::now();
        let until = time.map(|time| from + time);
        self.spans.push(Span { what, from, until });
    }

    /// Adds a faulty link of callers.
    pub fn add_caller_link(
        &mut self,
        vm: usize,
        link: Link,
        time: Duration,
    ) {
        if link.mode == LinkFault::Silent {
            self.add(Break::CallerConnections(vm), Some(time));
        }
        if link.mode != LinkFault::Pass || link.close_after.is_some() {
            self.add(Break::CallerLink(vm), Some(time));
        }
    }

    /// Adds a faulty link of an upstream; one that holds back data breaks nothing off.
    pub fn add_upstream_link(
        &mut self,
        upstream: &str,
        link: Link,
        time: Duration,
    ) {
        let closes = matches!(link.mode, LinkFault::Refuse | LinkFault::Reset);
        if closes || link.close_after.is_some() {
            self.add(Break::UpstreamLink(upstream.to_owned()), Some(time));
        }
    }

    /// Adds how an upstream handles its next request.
    pub fn add_behaviour(
        &mut self,
        upstream: SocketAddr,
        behaviour: &Behaviour,
    ) {
        self.draws.push(Draw {
            upstream,
            at: Instant::now(),
            failure: failure(behaviour),
        });
    }

    /// The requests of which the answer of an upstream has failed.
    pub fn failed(
        &self,
        upstream: SocketAddr,
        arrivals: Vec<Arrival>,
    ) -> Vec<(String, Failure)> {
        let draws = self.draws.iter().filter(|draw| draw.upstream == upstream);
        let mut draws = draws.peekable();
        let mut failed = Vec::new();
        for arrival in arrivals {
            let draw = draws.next_if(|draw| draw.at <= arrival.at);
            let failure = draw.and_then(|draw| draw.failure);
            failed.extend(failure.map(|failure| (arrival.request_id, failure)));
        }
        failed
    }

    /// Adds the planned stop of a VM, which lasts until it has started again.
    pub fn begin_stop(
        &mut self,
        vm: usize,
    ) {
        let now = Instant::now();
        let phases = [
            (Break::Closing(vm), BALANCER_DRAIN),
            (Break::Process(vm), STOP_LIMIT),
        ];
        self.spans.extend(phases.map(|(what, after)| Span {
            what,
            from: now + after,
            until: None,
        }));
    }

    /// Records that a VM has started, and that it was down since `down_from`.
    pub fn note_start(
        &mut self,
        vm: usize,
        down_from: Instant,
    ) {
        let now = Instant::now();
        let of_vm =
            |span: &&mut Span| [Break::Process(vm), Break::Closing(vm)].contains(&span.what);
        for span in self.spans.iter_mut().filter(of_vm) {
            span.until.get_or_insert(now);
        }
        self.spans.push(Span {
            what: Break::Process(vm),
            from: down_from,
            until: Some(now),
        });
    }

    /// Whether a break begins between two moments.
    pub fn begins(
        &self,
        what: &Break,
        from: Instant,
        until: Instant,
    ) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|span| {
            span.what == *what && span.from + NOTE_DELAY >= from && span.from <= until + NOTE_DELAY
        })
    }

    /// Whether a break holds at some moment between two.
    pub fn overlap(
        &self,
        what: &Break,
        from: Instant,
        until: Instant,
    ) -> bool {
        let mut spans = self.spans.iter().filter(|span| span.what == *what);
        spans.any(|span| {
            let is_over = span.until.is_some_and(|end| end + NOTE_DELAY < from);
            span.from <= until + NOTE_DELAY && !is_over
        })
    }
}

/// How the answer of an upstream fails, if it does. One that is silent for a while goes on.
const fn failure(behaviour: &Behaviour) -> Option<Failure> {
    match behaviour {
        Behaviour::Stream(_, _, StreamEnd::Complete) => None,
        Behaviour::Reset
        | Behaviour::Truncate
        | Behaviour::DuplicateResponse
        | Behaviour::Unsealed
        | Behaviour::CutAfter(_)
        | Behaviour::CutAfterMore(..)
        | Behaviour::Stream(..)
        | Behaviour::Babble(_) => Some(Failure::BrokenOff),
        Behaviour::Hang | Behaviour::SilentAfter(_) => Some(Failure::Hung),
        _ => None,
    }
}
