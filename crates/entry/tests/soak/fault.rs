use {
    super::{cluster::EVENTS, configuration::ConfigChange, ending::ENDING_UPSTREAMS},
    jasmine_platform_stand_in::{Behaviour, Outage, StreamEnd, StreamFraming},
    jasmine_testkit::proxy::{Fault as LinkFault, Link},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{ops::Range, time::Duration},
};

/// Time between the starts of two faults, in milliseconds; shorter than most faults, so that they overlap.
const FAULT_INTERVAL_MS: Range<u64> = 60..450;
/// Duration of a fault, in milliseconds.
const FAULT_DURATION_MS: Range<u64> = 100..1_600;
/// Time between the starts of two evacuations, in milliseconds.
const EVACUATION_INTERVAL_MS: Range<u64> = 500..3_000;
/// Separates the draws of evacuations from the other faults, whose schedules stay the same.
const EVACUATION_SEED: u64 = 0x00ec_0de5;
/// The same for what upstreams state about themselves.
const STATEMENT_SEED: u64 = 0x57a7_e5ed;
/// Time between the starts of two statements, in milliseconds.
const STATEMENT_INTERVAL_MS: Range<u64> = 500..2_500;
/// The same for lost links of VMs and for brittle upstreams.
const LINK_SEED: u64 = 0x0011_4b05;
/// Time between the starts of two of these, in milliseconds.
const LINK_INTERVAL_MS: Range<u64> = 400..2_000;
/// Duration of a loss of links, in milliseconds.
const LINK_DURATION_MS: Range<u64> = 500..4_000;
/// How long a sound upstream is silent, in milliseconds.
const PAUSE_MS: Range<u64> = 400..1_200;
/// The same for how streams are framed and end.
const STREAM_SEED: u64 = 0x57_2ea5;
/// Time between two streams that are framed or end in another way, in milliseconds.
const STREAM_INTERVAL_MS: Range<u64> = 50..400;
/// The same for streams of several software versions.
const BUILD_SEED: u64 = 0x00b0_11d5;
/// Time between two of these faults, in milliseconds.
const BUILD_INTERVAL_MS: Range<u64> = 40..250;
/// The same for prompts that crash engines, and for engines that crash.
const CRASH_SEED: u64 = 0x00c2_a5e5;
/// Time between two crashes of engines, in milliseconds.
const CRASH_INTERVAL_MS: Range<u64> = 600..2_500;
/// The same for upstreams that end, whatever they run.
const END_SEED: u64 = 0x00e9_de0d;
/// Time between two of these ends, in milliseconds.
const END_INTERVAL_MS: Range<u64> = 800..3_000;
/// The same for connections that all reach one VM.
const HERD_SEED: u64 = 0x00be_e4d5;
/// Time between the starts of two herds, in milliseconds.
const HERD_INTERVAL_MS: Range<u64> = 1_500..4_000;
/// How long connections reach one VM, in milliseconds.
const HERD_DURATION_MS: Range<u64> = 500..2_500;
/// The same for announced versions of adapters, and for engines in which requests wait.
const VERSION_SEED: u64 = 0x00ad_a9e5;
/// Time between two of these, in milliseconds.
const VERSION_INTERVAL_MS: Range<u64> = 60..400;
/// How long requests wait for their first token at an engine, in milliseconds.
const QUEUE_MS: Range<u64> = 500..4_800;
/// For how long new requests wait there, in milliseconds.
const QUEUE_DURATION_MS: Range<u64> = 100..500;
/// The same for sound upstreams that are silent for a while.
const SILENCE_SEED: u64 = 0x0051_1e17;
/// Time between the starts of two silences, in milliseconds.
const SILENCE_INTERVAL_MS: Range<u64> = 200..1_400;
/// How long they are silent, in milliseconds.
const SILENCE_MS: Range<u64> = 1_000..3_000;
/// The same for changes of the configuration in series, beside SIGHUPs and planned stops.
const CONFIG_SEED: u64 = 0x00c0_4f16;
/// Time between two series, in milliseconds.
const CONFIG_INTERVAL_MS: Range<u64> = 400..2_000;
/// Changes of a series, and the time between two of them, in milliseconds.
const CONFIG_CHANGES: Range<usize> = 1..6;
const CONFIG_CHANGE_MS: Range<u64> = 20..400;
/// The same for load reports, and for upstreams that read request bodies late.
const LOAD_SEED: u64 = 0x0010_ad00;
/// Time between two of these, in milliseconds.
const LOAD_INTERVAL_MS: Range<u64> = 100..600;
/// How late an upstream reads a body, in milliseconds.
const LATE_READ_MS: Range<u64> = 50..900;
/// Services of which all upstreams fall silent at once.
const SERVICES: [&str; 6] = ["app", "flows", "builds", "prompts", "spare", "llm"];
/// Adapters that callers use, from `a1` on.
pub const ADAPTERS: usize = 5;
pub const VMS: usize = 3;
/// Engines that crash.
pub const CRASH_ENGINES: usize = 4;
/// Parts of prompts that may crash engines.
pub const CRASHING_PARTS: [&str; 2] = ["bad0", "bad1"];
/// Upstreams of the service with several software versions.
pub const BUILD_SLOTS: usize = 4;
pub const UPSTREAMS: usize = 3;

/// A fault or an operator's action.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill(usize),
    Stop(usize),
    Suspend(usize, Duration),
    StoreLink(usize, Link, Duration),
    CallerLink(usize, Link, Duration),
    UpstreamLink(usize, Link, Duration),
    StoreOutage(Outage, Duration),
    StoreHistoryLost,
    UpstreamMisbehaves(usize, Behaviour),
    OrderResponsesLost(u32),
    NewConfig,
    /// A configuration that differs from the one before.
    ConfigChange(ConfigChange),
    /// A VM gets SIGHUP.
    Hangup(usize),
    /// The next request to each upstream of the service `app`.
    UpstreamsMisbehave(Behaviour),
    /// Sound upstreams are silent, whatever they are doing, and then go on.
    Silence(Silenced, Duration),
    /// The engines of prompts are silent for this long within their answers.
    PromptGap(Duration, Duration),
    UpstreamDrains(usize, Duration),
    /// Evacuates the data centre of an upstream, which is cold afterwards.
    Evacuation(usize, Duration),
    /// An upstream states something in its responses.
    Statement(usize, Statement, Duration),
    /// The next stream is like this.
    NextStream(Behaviour),
    /// The next stream of an upstream beside other software versions is like this.
    BuildStream(usize, Behaviour),
    /// The next stream of each of them.
    BuildStreams(Behaviour),
    /// An upstream of another software version takes the place of one.
    Release(usize),
    /// One VM loses its links to all upstreams.
    VmLinks(usize, LinkFault, Duration),
    /// From now on a part of prompts crashes each engine that begins to answer one with it.
    CrashingPart(usize),
    /// An engine crashes, whatever it runs.
    EngineCrash(usize),
    /// An upstream of those that end under requests ends, whatever it runs.
    UpstreamEnd(usize),
    /// A newer version of an adapter is announced.
    NewVersion(usize),
    /// Requests that reach the engine wait this long for their first token.
    EngineQueue(Duration, Duration),
    /// The callers' new connections reach one VM, as long as it takes them.
    Herd(usize, Duration),
    /// An upstream reports its load; the one after those of the service `app` is that which gets bursts.
    LoadReports(usize, Report, Duration),
}

/// Which upstreams are silent.
#[derive(Clone, Copy, Debug)]
pub enum Silenced {
    /// One of the service `app`.
    Upstream(usize),
    /// All of a service.
    Service(&'static str),
    All,
}

/// A load report, as far as it agrees with what the upstream does.
#[derive(Clone, Copy, Debug)]
pub enum Report {
    True,
    /// Of an earlier overload, repeated after its end.
    Late,
    /// Idle and fast, whatever it does.
    False,
    Garbage(&'static str),
}

/// Reports that can't be decoded, or state what is impossible.
const GARBAGE: [&str; 6] = [
    "",
    "6",
    "-1,0,6,100",
    "1,0,6,0",
    "4294967295,4294967295,4294967295,65535",
    "1,0,6,NaN",
];

impl Report {
    /// Its header value.
    pub const fn value(self) -> &'static str {
        match self {
            Self::True => "1,0,6,100",
            Self::Late => "6,40,6,1900",
            Self::False => "0,0,6,10",
            Self::Garbage(value) => value,
        }
    }
}

/// What an upstream states in its responses.
#[derive(Clone, Copy, Debug)]
pub enum Statement {
    /// It takes few requests a second.
    RequestLimit,
    /// It turns requests away and wants rest.
    Rest,
    /// It falls over if it turns many requests away.
    Brittle,
    /// It is about to stop; another run starts at the end of the fault.
    Leaving,
}

impl Statement {
    /// The header, with its value.
    pub const fn header(self) -> (&'static str, &'static str) {
        match self {
            Self::RequestLimit => ("Server-Limit", "20"),
            Self::Rest => ("Retry-After", "0.6"),
            Self::Brittle => ("Server-Brittle", "4"),
            Self::Leaving => ("Server-Leaving", "1"),
        }
    }
}

/// What a fault schedule contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Schedule {
    /// Faults.
    Faults,
    /// Also sound upstreams that are silent, and changes of the configuration in series.
    SilencesAndChanges,
    /// A site with so many VMs: silent upstreams beside ones in trouble, and a configuration each second.
    Site { vms: usize },
}

/// Generates the fault schedule of a seed.
pub fn plan(
    seed: u64,
    length: Duration,
    schedule: Schedule,
) -> Vec<(Duration, Fault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::from_millis(300);
    let mut plan = Vec::new();
    while at < length {
        plan.push((at, random_fault(&mut rng)));
        at += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
    }
    let salted = |salt, interval_ms, draw: fn(&mut ChaCha8Rng) -> Fault| {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ salt);
        series(rng, length, interval_ms, draw)
    };
    plan.extend(salted(EVACUATION_SEED, EVACUATION_INTERVAL_MS, evacuation));
    plan.extend(salted(STATEMENT_SEED, STATEMENT_INTERVAL_MS, statement));
    plan.extend(salted(STREAM_SEED, STREAM_INTERVAL_MS, stream));
    plan.extend(salted(LINK_SEED, LINK_INTERVAL_MS, lost_links));
    plan.extend(salted(BUILD_SEED, BUILD_INTERVAL_MS, build));
    plan.extend(crashes(seed, length));
    plan.extend(salted(END_SEED, END_INTERVAL_MS, upstream_end));
    plan.extend(salted(HERD_SEED, HERD_INTERVAL_MS, herd));
    plan.extend(salted(VERSION_SEED, VERSION_INTERVAL_MS, version));
    plan.extend(salted(LOAD_SEED, LOAD_INTERVAL_MS, load));
    if schedule == Schedule::SilencesAndChanges {
        plan.extend(salted(SILENCE_SEED, SILENCE_INTERVAL_MS, silence));
        plan.extend(config_changes(seed, length));
    }
    plan.sort_by_key(|&(at, _)| at);
    plan
}

/// Versions are announced while all VMs are calm, too.
pub fn calm_plan(
    seed: u64,
    length: Duration,
) -> Vec<(Duration, Fault)> {
    let rng = ChaCha8Rng::seed_from_u64(!(seed ^ VERSION_SEED));
    series(rng, length, VERSION_INTERVAL_MS, version)
}

/// Faults at random intervals, drawn apart from the others so that their schedules stay the same.
fn series<F>(
    mut rng: ChaCha8Rng,
    length: Duration,
    interval_ms: Range<u64>,
    mut draw: F,
) -> Vec<(Duration, Fault)>
where
    F: FnMut(&mut ChaCha8Rng) -> Fault,
{
    let mut at = Duration::ZERO;
    let mut plan = Vec::new();
    while at < length {
        at += Duration::from_millis(rng.random_range(interval_ms.clone()));
        plan.push((at, draw(&mut rng)));
    }
    plan
}

fn evacuation(rng: &mut ChaCha8Rng) -> Fault {
    let upstream = rng.random_range(0..UPSTREAMS);
    let time = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    Fault::Evacuation(upstream, time)
}

fn statement(rng: &mut ChaCha8Rng) -> Fault {
    let upstream = rng.random_range(0..UPSTREAMS);
    let time = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    let statement = match rng.random_range(0..3) {
        0 => Statement::RequestLimit,
        1 => Statement::Rest,
        _ => Statement::Leaving,
    };
    Fault::Statement(upstream, statement, time)
}

fn load(rng: &mut ChaCha8Rng) -> Fault {
    let upstream = rng.random_range(0..=UPSTREAMS);
    let time = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    let late = Duration::from_millis(rng.random_range(LATE_READ_MS));
    let garbage = GARBAGE[rng.random_range(0..GARBAGE.len())];
    match rng.random_range(0..5) {
        0 => Fault::LoadReports(upstream, Report::True, time),
        1 => Fault::LoadReports(upstream, Report::Late, time),
        2 => Fault::LoadReports(upstream, Report::False, time),
        3 => Fault::LoadReports(upstream, Report::Garbage(garbage), time),
        _ => Fault::UpstreamMisbehaves(upstream % UPSTREAMS, Behaviour::LateRead(late)),
    }
}

fn lost_links(rng: &mut ChaCha8Rng) -> Fault {
    let time = Duration::from_millis(rng.random_range(LINK_DURATION_MS));
    let vm = rng.random_range(0..VMS);
    let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
    match rng.random_range(0..6) {
        0 | 1 => Fault::VmLinks(vm, LinkFault::Cut, time),
        2 => Fault::VmLinks(vm, LinkFault::Reset, time),
        3 => Fault::Statement(vm % UPSTREAMS, Statement::Brittle, time),
        _ => Fault::NextStream(Behaviour::Pauses(EVENTS, pause)),
    }
}

fn stream(rng: &mut ChaCha8Rng) -> Fault {
    let framing = match rng.random_range(0..3) {
        0 => StreamFraming::Chunked,
        1 => StreamFraming::Length,
        _ => StreamFraming::UntilClose,
    };
    let (events, end) = match rng.random_range(0..4) {
        0 => (EVENTS, StreamEnd::Complete),
        1 => (rng.random_range(0..EVENTS), StreamEnd::InsideEvent),
        2 => (rng.random_range(0..EVENTS), StreamEnd::Cut),
        _ => (rng.random_range(0..EVENTS), StreamEnd::Reset),
    };
    Fault::NextStream(Behaviour::Stream(events, framing, end))
}

fn build(rng: &mut ChaCha8Rng) -> Fault {
    let slot = rng.random_range(0..BUILD_SLOTS);
    let events = rng.random_range(1..=EVENTS / 4);
    match rng.random_range(0..8) {
        0 => Fault::Release(slot),
        1 => Fault::BuildStream(slot, Behaviour::SilentAfter(events)),
        2..5 => Fault::BuildStreams(Behaviour::CutAfterMore(events, EVENTS)),
        _ => Fault::BuildStream(slot, Behaviour::CutAfterMore(events, EVENTS)),
    }
}

fn version(rng: &mut ChaCha8Rng) -> Fault {
    let adapter = rng.random_range(0..ADAPTERS);
    let queued = Duration::from_millis(rng.random_range(QUEUE_MS));
    let time = Duration::from_millis(rng.random_range(QUEUE_DURATION_MS));
    match rng.random_range(0..4) {
        0 => Fault::EngineQueue(queued, time),
        _ => Fault::NewVersion(adapter),
    }
}

fn silence(rng: &mut ChaCha8Rng) -> Fault {
    let upstream = rng.random_range(0..UPSTREAMS);
    let slot = rng.random_range(0..BUILD_SLOTS);
    let service = SERVICES[rng.random_range(0..SERVICES.len())];
    let time = Duration::from_millis(rng.random_range(SILENCE_MS));
    let gaps_for = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    match rng.random_range(0..11) {
        0 => Fault::UpstreamMisbehaves(upstream, Behaviour::Slow(time)),
        1 => Fault::UpstreamsMisbehave(Behaviour::Slow(time)),
        2 | 3 => Fault::NextStream(Behaviour::Pauses(EVENTS, time)),
        4 => Fault::BuildStream(slot, Behaviour::Pauses(EVENTS, time)),
        5 => Fault::BuildStreams(Behaviour::Pauses(EVENTS, time)),
        6 => Fault::PromptGap(time, gaps_for),
        7 => Fault::Silence(Silenced::Upstream(upstream), time),
        8 | 9 => Fault::Silence(Silenced::Service(service), time),
        _ => Fault::Silence(Silenced::All, time),
    }
}

/// Series of changes of the configuration, most of them within a second, each beside other work of the operator.
fn config_changes(
    seed: u64,
    length: Duration,
) -> Vec<(Duration, Fault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ CONFIG_SEED);
    let mut at = Duration::ZERO;
    let mut plan = Vec::new();
    while at < length {
        at += Duration::from_millis(rng.random_range(CONFIG_INTERVAL_MS));
        let vm = rng.random_range(0..VMS);
        match rng.random_range(0..8) {
            0 => plan.push((at, Fault::Stop(vm))),
            1..4 => plan.push((at, Fault::Hangup(vm))),
            _ => {}
        }
        for _ in 0..rng.random_range(CONFIG_CHANGES) {
            plan.push((at, Fault::ConfigChange(ConfigChange::draw(&mut rng))));
            at += Duration::from_millis(rng.random_range(CONFIG_CHANGE_MS));
        }
    }
    plan
}

fn engine_crash(rng: &mut ChaCha8Rng) -> Fault {
    Fault::EngineCrash(rng.random_range(0..CRASH_ENGINES))
}

fn upstream_end(rng: &mut ChaCha8Rng) -> Fault {
    Fault::UpstreamEnd(rng.random_range(0..ENDING_UPSTREAMS))
}

fn herd(rng: &mut ChaCha8Rng) -> Fault {
    let vm = rng.random_range(0..VMS);
    let time = Duration::from_millis(rng.random_range(HERD_DURATION_MS));
    Fault::Herd(vm, time)
}

/// Parts of prompts that begin to crash engines, and engines that crash otherwise.
fn crashes(
    seed: u64,
    length: Duration,
) -> Vec<(Duration, Fault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ CRASH_SEED);
    let parts = 0..CRASHING_PARTS.len();
    let mut plan: Vec<_> = parts
        .map(|part| {
            let at = length.mul_f64(rng.random_range(0.0..0.9));
            (at, Fault::CrashingPart(part))
        })
        .collect();
    plan.extend(series(rng, length, CRASH_INTERVAL_MS, engine_crash));
    plan
}

fn random_fault(rng: &mut ChaCha8Rng) -> Fault {
    let vm = rng.random_range(0..VMS);
    let upstream = rng.random_range(0..UPSTREAMS);
    let time = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
    match rng.random_range(0..16) {
        0 => Fault::Kill(vm),
        1 => Fault::Stop(vm),
        2 | 3 => Fault::Suspend(vm, time),
        4 | 5 => Fault::StoreLink(vm, random_link(rng), time),
        6 => Fault::CallerLink(vm, random_link(rng), time),
        7 | 8 => Fault::UpstreamLink(upstream, random_link(rng), time),
        9 => Fault::StoreOutage(random_outage(rng), time),
        10 => Fault::StoreHistoryLost,
        11 | 12 => Fault::UpstreamMisbehaves(upstream, random_behaviour(rng)),
        13 => Fault::OrderResponsesLost(rng.random_range(1..3)),
        14 => Fault::NewConfig,
        _ => Fault::UpstreamDrains(upstream, time),
    }
}

fn random_link(rng: &mut ChaCha8Rng) -> Link {
    let mode = match rng.random_range(0..6) {
        0 => LinkFault::Cut,
        1 => LinkFault::CutToTarget,
        2 => LinkFault::CutToClient,
        3 => LinkFault::Silent,
        4 => LinkFault::Refuse,
        _ => LinkFault::Pass,
    };
    Link {
        mode,
        delay_ms: rng.random_range(0..80),
        close_after: rng.random_bool(0.2).then(|| rng.random_range(10..2_000)),
        ..Link::default()
    }
}

fn random_outage(rng: &mut ChaCha8Rng) -> Outage {
    match rng.random_range(0..5) {
        0 => Outage::Unavailable,
        1 => Outage::TooManyRequests,
        2 => Outage::Reset,
        3 => Outage::Silent,
        _ => Outage::LostResponses,
    }
}

fn random_behaviour(rng: &mut ChaCha8Rng) -> Behaviour {
    match rng.random_range(0..8) {
        0 => Behaviour::Fail,
        1 => Behaviour::Shed,
        2 => Behaviour::Reset,
        3 => Behaviour::Truncate,
        4 => Behaviour::DuplicateResponse,
        5 => Behaviour::Unsealed,
        6 => Behaviour::Misdirected,
        _ => Behaviour::Slow(Duration::from_millis(rng.random_range(50..900))),
    }
}
