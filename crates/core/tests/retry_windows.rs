//! The retry budget over every window, as upstreams see it.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        scheduler::{Job, Outcome, RetrySettings, SchedulerSettings},
    },
    scheduler_world::{World, call},
};

const REPEATS: RetrySettings = RetrySettings {
    ratio: 0.2,
    slack: 54.0,
    window: Millis(10_000),
};
const STEP: Millis = Millis(100);
const REQUESTS_PER_STEP: usize = 4;
/// Retries that are wanted at once, more than any window allows.
const BURST: usize = 300;
/// Time before the first burst, in which the budget fills.
const LEAD: Millis = Millis(12_000);
/// Longest silence of a sound upstream, which reads what it was sent when it goes on.
const SILENCE: Millis = Millis(1_500);

/// Sends steady requests, and as many retries as are allowed at two moments; returns the times of both kinds.
fn send_bursts(
    first: Millis,
    second: Millis,
) -> (Vec<Millis>, [Vec<Millis>; 2]) {
    let settings = SchedulerSettings {
        repeats: REPEATS,
        ..SchedulerSettings::default()
    };
    let mut world = World::with(0, settings, true);
    world.add_server(UpstreamId(8));
    world.add_server(UpstreamId(9));
    let began = world.now;
    let mut requests = Vec::new();
    let mut retries = [Vec::new(), Vec::new()];
    while world.now.since(began) <= second {
        let at = world.now.since(began);
        for _ in 0..REQUESTS_PER_STEP {
            requests.push(at);
            let number = world.place(call(world.now));
            world.end(number, Outcome::Answered { took: Millis(5) });
        }
        let burst = [first, second].iter().position(|&due| due == at);
        if let Some(burst) = burst {
            for _ in 0..BURST {
                let retry = Job {
                    attempt: 2,
                    ..call(world.now)
                };
                let number = world.place(retry);
                if world.sent_to(number).is_some() {
                    retries[burst].push(at);
                }
                world.end(number, Outcome::Answered { took: Millis(5) });
            }
        }
        world.advance(STEP.0);
    }
    (requests, retries)
}

/// How many more retries arrive in some window than are allowed, if the first burst arrives this late.
fn worst_excess(
    requests: &[Millis],
    retries: &[Vec<Millis>; 2],
    delay: Millis,
) -> f64 {
    let late = retries[0].iter().map(|&at| at + delay);
    let arrivals: Vec<Millis> = late.chain(retries[1].iter().copied()).collect();
    let in_window = |times: &[Millis], end: Millis| {
        let is_in = |at: &&Millis| **at <= end && end.since(**at) < REPEATS.window;
        times.iter().filter(is_in).count() as f64
    };
    let excess = arrivals.iter().map(|&end| {
        let allowed = REPEATS.ratio * in_window(requests, end) + REPEATS.slack;
        in_window(&arrivals, end) - allowed
    });
    excess.fold(f64::NEG_INFINITY, f64::max)
}

/// The worst excess over all phases and distances of two bursts.
fn worst_of_all(delays: &[Millis]) -> (f64, Millis, Millis) {
    let mut worst = (f64::NEG_INFINITY, Millis::ZERO, Millis::ZERO);
    for phase in (0..1_000).step_by(300) {
        for distance in (8_000..12_500).step_by(300) {
            let first = LEAD + Millis(phase);
            let (requests, retries) = send_bursts(first, first + Millis(distance));
            assert!(!retries[0].is_empty());
            for &delay in delays {
                let excess = worst_excess(&requests, &retries, delay);
                if excess > worst.0 {
                    worst = (excess, Millis(phase), Millis(distance));
                }
            }
        }
    }
    worst
}

#[test]
fn bursts_apart() {
    // Guards against two bursts of retries in one window, as the first one's bucket is forgotten before its time.
    let (excess, phase, distance) = worst_of_all(&[Millis::ZERO]);
    assert!(
        excess <= 0.0,
        "{excess} too many, phase {phase}, {distance} apart"
    );
}

#[test]
fn late_arrivals() {
    // Guards against retries that silent upstreams read late, together with those that are decided meanwhile.
    let delays: Vec<Millis> = (0..=SILENCE.0).step_by(500).map(Millis).collect();
    let (excess, phase, distance) = worst_of_all(&delays);
    assert!(
        excess <= 0.0,
        "{excess} too many, phase {phase}, {distance} apart"
    );
}

/// Retries that wait this long for an upstream, and others that are sent at once a window after they were granted.
fn send_after_wait(wait: Millis) -> (Vec<Millis>, [Vec<Millis>; 2]) {
    let settings = SchedulerSettings {
        repeats: REPEATS,
        ..SchedulerSettings::default()
    };
    let mut world = World::with(0, settings, true);
    for id in 0..20 {
        world.add_server(UpstreamId(id));
    }
    let patient = |now: Millis, attempt: u32| Job {
        attempt,
        objective: now + Millis(5_000),
        deadline: now + Millis(30_000),
        ..call(now)
    };
    let began = world.now;
    let mut requests = Vec::new();
    let mut retries = [Vec::new(), Vec::new()];
    let mut holders = Vec::new();
    let mut queued = Vec::new();
    let freed = LEAD + wait;
    let second = LEAD + REPEATS.window + Millis(3_100);
    while world.now.since(began) <= second {
        let at = world.now.since(began);
        for _ in 0..REQUESTS_PER_STEP {
            requests.push(at);
            let number = world.place(patient(world.now, 1));
            if at >= LEAD && at < freed {
                holders.push(number);
            } else {
                world.end(number, Outcome::Answered { took: Millis(5) });
            }
        }
        if at == LEAD {
            // Whatever slots are left are taken first.
            for _ in 0..BURST {
                let number = world.place(patient(world.now, 1));
                holders.push(number);
                requests.push(at);
            }
            queued.extend((0..BURST).map(|_| world.place(patient(world.now, 2))));
        }
        if at == freed {
            for number in holders.drain(..) {
                world.end(number, Outcome::Answered { took: Millis(5) });
            }
        }
        if at == second {
            queued.extend((0..BURST).map(|_| world.place(patient(world.now, 2))));
        }
        // An upstream that takes a retry answers it at once.
        loop {
            let before = queued.len();
            queued.retain(|&number| {
                let is_sent = world.sent_to(number).is_some();
                if is_sent {
                    retries[usize::from(at == second)].push(at);
                    world.end(number, Outcome::Answered { took: Millis(5) });
                }
                !is_sent
            });
            if queued.len() == before {
                break;
            }
        }
        world.advance(STEP.0);
    }
    (requests, retries)
}

#[test]
fn queued_retries() {
    // Guards against retries that wait for an upstream, and arrive together with those that are granted later.
    for wait in [0, 1_000, 2_500, 4_000, 8_000].map(Millis) {
        let (requests, retries) = send_after_wait(wait);
        let counts = [retries[0].len(), retries[1].len()];
        assert!(
            counts[0] > 0 && (counts[1] > 0 || wait > Millis::ZERO),
            "{wait}: {counts:?}"
        );
        let excess = worst_excess(&requests, &retries, Millis::ZERO);
        println!(
            "{wait}: {} and {} sent, {excess:.1} too many",
            retries[0].len(),
            retries[1].len()
        );
        assert!(excess <= 0.0, "{excess:.1} too many after a wait of {wait}");
    }
}
