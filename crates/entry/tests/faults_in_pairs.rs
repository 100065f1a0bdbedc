//! Upstreams of each kind beside one of each other kind: the answer of a sound one reaches its caller.

mod deployment;

use {
    deployment::{Request, Response, Vm, config, count_runs, source_address, wait_until},
    jasmine_platform_stand_in::{Babble, BabbleAt, Behaviour, KvStandIn, Pace, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault, Proxy},
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        sync::{Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const EVENTS: u64 = 8;
/// Events before a stream babbles.
const GOOD_EVENTS: u64 = 2;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(5);
/// Deadline where no upstream is sound.
const SHORT_DEADLINE: Duration = Duration::from_secs(1);
/// How late a response may be that says that the deadline has passed.
const MAX_LATE: Duration = Duration::from_secs(1);
/// Longer than a VM holds log lines back.
const LOG_DELAY: Duration = Duration::from_millis(200);
/// When the requests of a cell are sent: the first ones together, the later ones beside traces of the first.
const SEND_AT: [u64; 5] = [0, 0, 100, 300, 500];
/// Cells that run at a time.
const MAX_CELLS: usize = 18;
/// The VM that has lost its links to the upstreams.
const CUT_OFF: usize = 1;

/// How an upstream handles all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Sound,
    /// Sound, but silent for so many milliseconds.
    Silent(u64),
    Full,
    Failing,
    Resetting,
    Hung,
    Unsealed,
    Babbling(BabbleAt, Pace),
}

const SILENT: Kind = Kind::Silent(2_000);
const SOUND: [Kind; 5] = [
    Kind::Sound,
    Kind::Silent(400),
    Kind::Silent(1_000),
    SILENT,
    Kind::Silent(3_000),
];
/// Slow enough that many cells run side by side.
const PACE: Pace = Pace {
    bytes: 50,
    interval: Duration::from_millis(10),
};
const BABBLING_HEAD: Kind = Kind::Babbling(BabbleAt::HeaderLines, PACE);
const BABBLING_BODY: Kind = Kind::Babbling(BabbleAt::LongBody, PACE);
const BABBLING_EVENT: Kind = Kind::Babbling(BabbleAt::Event(GOOD_EVENTS), PACE);
const IN_TROUBLE: [Kind; 8] = [
    Kind::Full,
    Kind::Failing,
    Kind::Resetting,
    Kind::Hung,
    Kind::Unsealed,
    BABBLING_HEAD,
    BABBLING_BODY,
    BABBLING_EVENT,
];
const BABBLES: [BabbleAt; 20] = [
    BabbleAt::InterimResponses,
    BabbleAt::HeaderLines,
    BabbleAt::HeaderLine,
    BabbleAt::OtherResponses,
    BabbleAt::OtherBody,
    BabbleAt::FailureBody,
    BabbleAt::SilentFailure,
    BabbleAt::RefusalBody,
    BabbleAt::BodyUntilClose,
    BabbleAt::LongBody,
    BabbleAt::AfterAnswer,
    BabbleAt::Event(0),
    BabbleAt::Event(GOOD_EVENTS),
    BabbleAt::ChunkSize(GOOD_EVENTS),
    BabbleAt::ChunkExtensions(GOOD_EVENTS),
    BabbleAt::Trailers(GOOD_EVENTS),
    BabbleAt::Comments(0),
    BabbleAt::Comments(GOOD_EVENTS),
    BabbleAt::KnownEvents(GOOD_EVENTS),
    BabbleAt::EventsWithoutId(GOOD_EVENTS),
];

impl Kind {
    const fn is_sound(self) -> bool {
        matches!(self, Self::Sound | Self::Silent(_))
    }

    fn behaviour(
        self,
        target: Target,
    ) -> Behaviour {
        match (self, target) {
            (Self::Sound, Target::Stream) => Behaviour::Events(EVENTS),
            (Self::Sound, Target::Call) => Behaviour::Answer(b"ok".to_vec()),
            (Self::Silent(ms), Target::Stream) => {
                Behaviour::Pauses(EVENTS, Duration::from_millis(ms))
            }
            (Self::Silent(ms), Target::Call) => Behaviour::Slow(Duration::from_millis(ms)),
            (Self::Full, _) => Behaviour::Shed,
            (Self::Failing, _) => Behaviour::Fail,
            (Self::Resetting, _) => Behaviour::Reset,
            (Self::Hung, _) => Behaviour::Hang,
            (Self::Unsealed, _) => Behaviour::Unsealed,
            (Self::Babbling(at, pace), _) => Behaviour::Babble(Babble { at, pace }),
        }
    }
}

/// What the requests of a cell ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Target {
    Stream,
    Call,
}

impl Target {
    fn request(self) -> Request {
        match self {
            Self::Stream => Request::new("POST", "/stream/").body(b"prompt"),
            Self::Call => Request::new("GET", "/read/"),
        }
    }

    fn is_whole(
        self,
        response: &Response,
    ) -> bool {
        let ids = || response.events().into_iter().map(|event| event.id);
        let has_all = match self {
            Self::Stream => ids().eq(1..=EVENTS),
            Self::Call => ["ok", "slow"].contains(&response.text().as_str()),
        };
        response.status == 200 && response.is_complete && has_all
    }
}

/// Upstreams side by side, and what is sent to them.
#[derive(Clone, Debug)]
struct Cell {
    target: Target,
    kinds: Vec<Kind>,
    /// Attempts that the route allows.
    attempts: usize,
    deadline: Duration,
    /// The software versions of the upstreams, if they differ.
    builds: Vec<&'static str>,
    /// The data centres of the upstreams; the VM is in `one`.
    zones: Vec<&'static str>,
    /// Whether the VM reaches them through another one.
    is_relayed: bool,
}

impl Cell {
    fn new(
        target: Target,
        kinds: &[Kind],
    ) -> Self {
        let is_sound = kinds.iter().any(|kind| kind.is_sound());
        Self {
            target,
            kinds: kinds.to_vec(),
            attempts: kinds.len(),
            deadline: if is_sound { DEADLINE } else { SHORT_DEADLINE },
            builds: vec!["v1"; kinds.len()],
            zones: vec!["one"; kinds.len()],
            is_relayed: false,
        }
    }

    /// Runs the cell; returns what went wrong.
    fn run(&self) -> Vec<String> {
        let site = Site::start(self);
        thread::scope(|scope| {
            let began = Instant::now();
            let send = |after: u64| {
                let site = &site;
                scope.spawn(move || {
                    let at = Duration::from_millis(after);
                    thread::sleep(at.saturating_sub(began.elapsed()));
                    self.send(site)
                })
            };
            let callers: Vec<_> = SEND_AT.into_iter().map(send).collect();
            let failures = callers.into_iter().map(|caller| caller.join().unwrap());
            failures.flatten().collect()
        })
    }

    /// Sends one request; returns what went wrong with it.
    fn send(
        &self,
        site: &Site,
    ) -> Option<String> {
        let deadline = self.deadline.as_millis().to_string();
        let req = self.target.request().with("X-Deadline-Ms", &deadline);
        let vm = site.vms.last().unwrap();
        let sent_at = Instant::now();
        let response = vm.send_raw(&req.bytes());
        let took = sent_at.elapsed();
        let runs = count_runs(&site.upstreams, req.id());
        let is_sound = self.kinds.iter().any(|kind| kind.is_sound());
        let is_whole = response.as_ref().is_some_and(|it| self.target.is_whole(it));
        let is_one_build = response.as_ref().is_none_or(|it| {
            let builds: BTreeSet<_> = it.events().into_iter().map(|it| it.build).collect();
            builds.len() <= 1
        });
        let is_in_time = response.is_some() && took < self.deadline + MAX_LATE;
        let is_right = runs <= self.attempts && is_in_time && is_one_build;
        if is_right && (is_whole || !is_sound) {
            return None;
        }
        let seen = response.map_or_else(
            || "no response".to_owned(),
            |it| {
                let ids: Vec<u64> = it.events().iter().map(|event| event.id).collect();
                format!("{} whole={} events={ids:?}", it.status, it.is_complete)
            },
        );
        let Self { target, kinds, .. } = self;
        thread::sleep(LOG_DELAY);
        let lines = site.log_lines(req.id());
        Some(format!(
            "{target:?} {kinds:?}: {seen} after {took:?}, {runs} runs\n{lines}"
        ))
    }
}

/// The upstreams and VMs of a cell.
struct Site {
    upstreams: Vec<UpstreamStandIn>,
    vms: Vec<Vm>,
    _links: Vec<Proxy>,
    _store: KvStandIn,
}

impl Site {
    fn start(cell: &Cell) -> Self {
        let store = KvStandIn::start().unwrap();
        let mut config = config(1);
        for route in config["routes"].as_array_mut().unwrap() {
            route["attempts"] = json!(cell.attempts);
        }
        store.put("op/config", &config);
        let has_builds = cell.builds.iter().collect::<BTreeSet<_>>().len() > 1;
        let mut links = Vec::new();
        let mut upstreams = Vec::new();
        for (number, zone) in cell.zones.iter().enumerate() {
            let upstream = UpstreamStandIn::start(&format!("s-{number}")).unwrap();
            if has_builds {
                upstream.set_build(cell.builds[number]);
            }
            let mut entry = upstream.entry("app", zone, "ready");
            if cell.is_relayed {
                let address = entry["address"].as_str().unwrap().parse().unwrap();
                let link = Proxy::start("127.0.0.1:0".parse().unwrap(), address).unwrap();
                entry["address"] = json!(link.address().to_string());
                links.push(link);
            }
            store.put(&upstream.key(), &entry);
            upstreams.push(upstream);
        }
        let vms = if cell.is_relayed {
            start_relay(&store, &links)
        } else {
            vec![Vm::start(&store)]
        };
        for (upstream, kind) in upstreams.iter().zip(&cell.kinds) {
            upstream.set_default(kind.behaviour(cell.target));
        }
        Self {
            upstreams,
            vms,
            _links: links,
            _store: store,
        }
    }

    /// What the VMs tell of a request.
    fn log_lines(
        &self,
        id: &str,
    ) -> String {
        let id = format!(" id={id} ");
        let logs = self.vms.iter().map(Vm::log).collect::<String>();
        let lines = logs.lines().filter(|line| format!("{line} ").contains(&id));
        lines.flat_map(|line| ["    ", line, "\n"]).collect()
    }
}

/// Starts a VM, and one that reaches the upstreams only through it.
fn start_relay(
    store: &KvStandIn,
    links: &[Proxy],
) -> Vec<Vm> {
    let start_vm = |number: usize| {
        let name = format!("pair-{number}-{}", store.address().port());
        let vm = Vm::start_with_settings(store.address(), &name, |settings: &mut Value| {
            settings["upstream_source"] = json!(source_address(number));
        });
        wait_until("the daemon is ready", || vm.is_ready());
        let event = match number {
            0 => "lead_taken",
            _ => "leader_followed",
        };
        wait_until(event, || !vm.log_lines(event).is_empty());
        vm
    };
    let vms: Vec<_> = (0..=CUT_OFF).map(start_vm).collect();
    for link in links {
        link.set_mode_for(source_address(CUT_OFF), Some(Fault::Refuse));
    }
    wait_until("the other one sends its requests on", || {
        vms[CUT_OFF].send_request(&Request::new("GET", "/read/"));
        !vms[CUT_OFF].log_lines("request_relayed").is_empty()
    });
    vms
}

/// Bounds how many cells of all tests run at a time.
struct Slots {
    free: Mutex<usize>,
    changed: Condvar,
}

static SLOTS: Slots = Slots {
    free: Mutex::new(MAX_CELLS),
    changed: Condvar::new(),
};

impl Slots {
    fn take(&self) -> Slot<'_> {
        let free = self.free.lock().unwrap();
        let mut free = self.changed.wait_while(free, |free| *free == 0).unwrap();
        *free -= 1;
        Slot(self)
    }
}

/// A slot in use.
struct Slot<'a>(&'a Slots);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        *self.0.free.lock().unwrap() += 1;
        self.0.changed.notify_one();
    }
}

/// Runs cells, a few at a time, and tells all that went wrong.
fn assert_all(cells: &[Cell]) {
    let run = |cell: &Cell| {
        let _slot = SLOTS.take();
        cell.run()
    };
    let failures: Vec<Vec<String>> = thread::scope(|scope| {
        let running = cells.iter().map(|cell| scope.spawn(move || run(cell)));
        let running: Vec<_> = running.collect();
        running.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let failed = failures
        .iter()
        .filter(|of_cell| !of_cell.is_empty())
        .count();
    let told = failures.concat().join("");
    assert!(failed == 0, "{failed} of {} cells:\n{told}", cells.len());
}

/// Each sound upstream beside one in trouble.
fn assert_beside(
    target: Target,
    trouble: Kind,
) {
    assert_all(&SOUND.map(|sound| Cell::new(target, &[sound, trouble])));
}

/// All pairs of two different kinds.
fn pairs(kinds: &[Kind]) -> Vec<[Kind; 2]> {
    let with_later = |(number, &one): (usize, &Kind)| {
        let later = kinds[number + 1..].iter();
        later.map(move |&other| [one, other]).collect::<Vec<_>>()
    };
    kinds.iter().enumerate().flat_map(with_later).collect()
}

fn assert_beside_two(target: Target) {
    let cells = pairs(&IN_TROUBLE)
        .into_iter()
        .map(|[one, other]| Cell::new(target, &[SILENT, one, other]));
    assert_all(&cells.collect::<Vec<_>>());
}

fn assert_beside_each_babble(target: Target) {
    let beside = |at| Cell::new(target, &[Kind::Sound, Kind::Babbling(at, Pace::SLOW)]);
    assert_all(&BABBLES.map(beside));
}

/// Cells whose upstream in trouble is tried first, as the sound one is in another data centre.
fn assert_on_last_attempt(target: Target) {
    let cell = |trouble| Cell {
        zones: vec!["two", "one"],
        ..Cell::new(target, &[SILENT, trouble])
    };
    assert_all(&IN_TROUBLE.map(cell));
}

/// The same beside two that hold a request without answering it.
fn assert_on_third_attempt(target: Target) {
    let holding = [Kind::Hung, BABBLING_HEAD, BABBLING_BODY, BABBLING_EVENT];
    let cells = pairs(&holding).into_iter().map(|[one, other]| Cell {
        zones: vec!["two", "one", "one"],
        ..Cell::new(target, &[SILENT, one, other])
    });
    assert_all(&cells.collect::<Vec<_>>());
}

fn assert_through_a_relay(target: Target) {
    let cells = IN_TROUBLE.into_iter().flat_map(|trouble| {
        [Kind::Sound, SILENT].map(|sound| Cell {
            is_relayed: true,
            ..Cell::new(target, &[sound, trouble])
        })
    });
    assert_all(&cells.collect::<Vec<_>>());
}

fn assert_bounded_runs(target: Target) {
    let cells = pairs(&IN_TROUBLE)
        .into_iter()
        .map(|pair| Cell::new(target, &pair));
    assert_all(&cells.collect::<Vec<_>>());
}

#[test]
fn streams_beside_silent_upstreams() {
    // Guards against losing a stream among sound upstreams of which one or both are silent.
    let cells = pairs(&SOUND).into_iter();
    let cells = cells.map(|pair| Cell::new(Target::Stream, &pair));
    assert_all(&cells.collect::<Vec<_>>());
}

#[test]
fn calls_beside_silent_upstreams() {
    // Guards against losing a call among sound upstreams of which one or both are silent.
    let cells = pairs(&SOUND).into_iter();
    let cells = cells.map(|pair| Cell::new(Target::Call, &pair));
    assert_all(&cells.collect::<Vec<_>>());
}

#[test]
fn streams_beside_full_upstreams() {
    // Guards against losing a stream of a sound upstream beside one that turns it away.
    assert_beside(Target::Stream, Kind::Full);
}

#[test]
fn streams_beside_failing_upstreams() {
    // Guards against losing a stream of a sound upstream beside one that fails it.
    assert_beside(Target::Stream, Kind::Failing);
}

#[test]
fn streams_beside_resetting_upstreams() {
    // Guards against losing a stream of a sound upstream beside one that resets its connection.
    assert_beside(Target::Stream, Kind::Resetting);
}

#[test]
fn streams_beside_hung_upstreams() {
    // Guards against losing a stream of a sound upstream beside one that accepts it and never answers.
    assert_beside(Target::Stream, Kind::Hung);
}

#[test]
fn streams_beside_unsealed_upstreams() {
    // Guards against losing a stream of a sound upstream beside one whose answer isn't the service's.
    assert_beside(Target::Stream, Kind::Unsealed);
}

#[test]
fn streams_beside_babbling_head_upstreams() {
    // Guards against losing a stream of a sound upstream beside one whose head never ends.
    assert_beside(Target::Stream, BABBLING_HEAD);
}

#[test]
fn streams_beside_babbling_body_upstreams() {
    // Guards against losing a stream of a sound upstream beside one whose body never ends.
    assert_beside(Target::Stream, BABBLING_BODY);
}

#[test]
fn streams_beside_babbling_event_upstreams() {
    // Guards against losing a stream of a sound upstream beside one whose event never ends.
    assert_beside(Target::Stream, BABBLING_EVENT);
}

#[test]
fn calls_beside_full_upstreams() {
    // Guards against losing a call of a sound upstream beside one that turns it away.
    assert_beside(Target::Call, Kind::Full);
}

#[test]
fn calls_beside_failing_upstreams() {
    // Guards against losing a call of a sound upstream beside one that fails it.
    assert_beside(Target::Call, Kind::Failing);
}

#[test]
fn calls_beside_resetting_upstreams() {
    // Guards against losing a call of a sound upstream beside one that resets its connection.
    assert_beside(Target::Call, Kind::Resetting);
}

#[test]
fn calls_beside_hung_upstreams() {
    // Guards against losing a call of a sound upstream beside one that accepts it and never answers.
    assert_beside(Target::Call, Kind::Hung);
}

#[test]
fn calls_beside_unsealed_upstreams() {
    // Guards against losing a call of a sound upstream beside one whose answer isn't the service's.
    assert_beside(Target::Call, Kind::Unsealed);
}

#[test]
fn calls_beside_babbling_head_upstreams() {
    // Guards against losing a call of a sound upstream beside one whose head never ends.
    assert_beside(Target::Call, BABBLING_HEAD);
}

#[test]
fn calls_beside_babbling_body_upstreams() {
    // Guards against losing a call of a sound upstream beside one whose body never ends.
    assert_beside(Target::Call, BABBLING_BODY);
}

#[test]
fn calls_beside_babbling_event_upstreams() {
    // Guards against losing a call of a sound upstream beside one whose event never ends.
    assert_beside(Target::Call, BABBLING_EVENT);
}

#[test]
fn streams_beside_two_in_trouble() {
    // Guards against losing a stream of a silent upstream beside two in trouble, as many as it has other attempts.
    assert_beside_two(Target::Stream);
}

#[test]
fn streams_beside_each_babble() {
    // Guards against losing a stream of a sound upstream beside one that sends bytes without end, at any place.
    assert_beside_each_babble(Target::Stream);
}

#[test]
fn streams_on_last_attempts() {
    // Guards against losing a stream whose last attempt is at a sound upstream that is silent.
    assert_on_last_attempt(Target::Stream);
}

#[test]
fn streams_through_relays() {
    // Guards against losing a stream that another VM sends on to a sound upstream beside one in trouble.
    assert_through_a_relay(Target::Stream);
}

#[test]
fn streams_beside_trouble_only() {
    // Guards against more runs of a stream than attempts, or a late end, where no upstream is sound.
    assert_bounded_runs(Target::Stream);
}

#[test]
fn calls_beside_two_in_trouble() {
    // Guards against losing a call of a silent upstream beside two in trouble, as many as it has other attempts.
    assert_beside_two(Target::Call);
}

#[test]
fn calls_beside_each_babble() {
    // Guards against losing a call of a sound upstream beside one that sends bytes without end, at any place.
    assert_beside_each_babble(Target::Call);
}

#[test]
fn calls_on_last_attempts() {
    // Guards against losing a call whose last attempt is at a sound upstream that is silent.
    assert_on_last_attempt(Target::Call);
}

#[test]
fn calls_through_relays() {
    // Guards against losing a call that another VM sends on to a sound upstream beside one in trouble.
    assert_through_a_relay(Target::Call);
}

#[test]
fn calls_beside_trouble_only() {
    // Guards against more runs of a call than attempts, or a late end, where no upstream is sound.
    assert_bounded_runs(Target::Call);
}

#[test]
fn streams_of_two_builds() {
    // Guards against losing a stream beside an upstream in trouble of its build, and against going on at another build.
    let cells = IN_TROUBLE.into_iter().flat_map(|trouble| {
        [Kind::Sound, SILENT].map(|sound| Cell {
            builds: vec!["v1", "v2", "v2"],
            ..Cell::new(Target::Stream, &[sound, sound, trouble])
        })
    });
    assert_all(&cells.collect::<Vec<_>>());
}

#[test]
fn streams_on_third_attempts() {
    // Guards against waiting for two upstreams that hold a stream while a sound one could still be asked.
    assert_on_third_attempt(Target::Stream);
}

#[test]
fn calls_on_third_attempts() {
    // Guards against waiting for two upstreams that hold a call while a sound one could still be asked.
    assert_on_third_attempt(Target::Call);
}
