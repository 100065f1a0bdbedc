use {
    jasmine_platform_stand_in::{Behaviour, Outage},
    jasmine_testkit::proxy::{Fault as LinkFault, Link},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Time between the starts of two faults, in milliseconds; shorter than most faults, so that they overlap.
const BETWEEN: std::ops::Range<u64> = 60..450;
/// Duration of a fault, in milliseconds.
const LASTS: std::ops::Range<u64> = 100..1_600;
pub const VMS: usize = 3;
pub const UPSTREAMS: usize = 3;

/// A fault or an operator's action.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill(usize),
    Stop(usize),
    Freeze(usize, Duration),
    StoreLink(usize, Link, Duration),
    CallerLink(usize, Link, Duration),
    UpstreamLink(usize, Link, Duration),
    StoreAway(Outage, Duration),
    HistoryLost,
    Misbehaves(usize, Behaviour),
    OrdersLost(u32),
    NewConfig,
    Leaves(usize, Duration),
}

/// Generates the fault schedule of a seed.
pub fn plan(
    seed: u64,
    length: Duration,
) -> Vec<(Duration, Fault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::from_millis(300);
    let mut plan = Vec::new();
    while at < length {
        plan.push((at, draw(&mut rng)));
        at += Duration::from_millis(rng.random_range(BETWEEN));
    }
    plan
}

fn draw(rng: &mut ChaCha8Rng) -> Fault {
    let vm = rng.random_range(0..VMS);
    let upstream = rng.random_range(0..UPSTREAMS);
    let time = Duration::from_millis(rng.random_range(LASTS));
    match rng.random_range(0..16) {
        0 => Fault::Kill(vm),
        1 => Fault::Stop(vm),
        2 | 3 => Fault::Freeze(vm, time),
        4 | 5 => Fault::StoreLink(vm, link(rng), time),
        6 => Fault::CallerLink(vm, link(rng), time),
        7 | 8 => Fault::UpstreamLink(upstream, link(rng), time),
        9 => Fault::StoreAway(outage(rng), time),
        10 => Fault::HistoryLost,
        11 | 12 => Fault::Misbehaves(upstream, behaviour(rng)),
        13 => Fault::OrdersLost(rng.random_range(1..3)),
        14 => Fault::NewConfig,
        _ => Fault::Leaves(upstream, time),
    }
}

fn link(rng: &mut ChaCha8Rng) -> Link {
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
    }
}

fn outage(rng: &mut ChaCha8Rng) -> Outage {
    match rng.random_range(0..5) {
        0 => Outage::Busy,
        1 => Outage::Many,
        2 => Outage::Reset,
        3 => Outage::Silent,
        _ => Outage::LostAnswers,
    }
}

fn behaviour(rng: &mut ChaCha8Rng) -> Behaviour {
    match rng.random_range(0..8) {
        0 => Behaviour::Fail,
        1 => Behaviour::Shed,
        2 => Behaviour::Reset,
        3 => Behaviour::Truncate,
        4 => Behaviour::Twice,
        5 => Behaviour::Unsealed,
        6 => Behaviour::Misdirected,
        _ => Behaviour::Slow(Duration::from_millis(rng.random_range(50..900))),
    }
}
