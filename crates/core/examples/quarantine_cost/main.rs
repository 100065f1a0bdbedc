//! Measures the CPU cost of evidence about crashes, by the number of crashes and of prompts that each accuses.
//!
//! `cargo run --release -p jasmine-core --example quarantine_cost -- <crashes> <prompts per crash>`.

use {
    jasmine_core::{
        clock::Millis,
        ids::{PartId, RequestId, UpstreamId},
        quarantine::{CrashCandidates, PartQuarantine, SignOfLife},
    },
    std::{
        hint::black_box,
        time::{Duration, Instant},
    },
};

const DEFAULT_ARGS: [u64; 2] = [200, 64];
/// Parts that many prompts share, and adapters.
const FIRST_PARTS: u64 = 20;
const ADAPTERS: u64 = 200;
const UPSTREAMS: u64 = 400;
/// Time between two crashes.
const CRASH_INTERVAL: Millis = Millis(1_000);
/// Time for which an operation is repeated.
const MEASURED_TIME: Duration = Duration::from_millis(300);

/// A quarantine that knows of crashes, and its time.
#[derive(Clone)]
struct Known {
    quarantine: PartQuarantine,
    now: Millis,
    prompts: u64,
}

impl Known {
    fn new(
        crashes: u64,
        prompts: u64,
    ) -> Self {
        let mut known = Self {
            quarantine: PartQuarantine::default(),
            now: Millis(1_000_000),
            prompts: 0,
        };
        for crash in 0..crashes {
            let upstream = UpstreamId((crash * 7 % UPSTREAMS) as u32);
            for _ in 0..prompts {
                known.crash(upstream);
            }
            known.now += CRASH_INTERVAL;
            known.quarantine.review(known.now);
            // What many prompts share is sound again by the next crash.
            for part in (0..FIRST_PARTS)
                .map(first_part)
                .chain((0..ADAPTERS).map(adapter))
            {
                known.quarantine.note_sound(&[part], known.now);
            }
        }
        known
    }

    /// The parts of another prompt: two that others share, and one of its session.
    fn next_prompt(&mut self) -> [PartId; 3] {
        self.prompts += 1;
        prompt(self.prompts)
    }

    fn crash(
        &mut self,
        upstream: UpstreamId,
    ) {
        let prompt = self.next_prompt();
        let request = Some(PartId::Request(self.prompts));
        let sent_at = self.now.since(Millis(50));
        self.quarantine
            .note_crash(upstream, &prompt, request, sent_at, self.now);
    }
}

const fn first_part(number: u64) -> PartId {
    PartId::Part(1 + number % FIRST_PARTS)
}

const fn adapter(number: u64) -> PartId {
    PartId::Adapter(1 + number % ADAPTERS)
}

const fn prompt(number: u64) -> [PartId; 3] {
    let session = PartId::Part(0x1_0000 + number);
    [first_part(number), session, adapter(number)]
}

/// Prints the mean time of an operation, each time on the same evidence if `is_fresh`.
fn measure<F>(
    name: &str,
    known: &Known,
    is_fresh: bool,
    mut run: F,
) where
    F: FnMut(&mut Known, u64),
{
    let mut current = known.clone();
    let (mut count, mut took) = (0_u64, Duration::ZERO);
    while took < MEASURED_TIME && count < 100_000 {
        if is_fresh {
            current = known.clone();
        }
        let started = Instant::now();
        run(&mut current, count);
        took += started.elapsed();
        count += 1;
    }
    println!(
        "{:10.2} us  {name}",
        took.as_secs_f64() * 1e6 / count as f64
    );
}

fn main() {
    let mut args = std::env::args().skip(1);
    let [crashes, prompts] = DEFAULT_ARGS.map(|default| {
        let arg = args.next();
        arg.map_or(default, |arg| {
            arg.parse()
                .expect("arguments must be non-negative integers")
        })
    });
    let known = Known::new(crashes, prompts);
    let now = known.now;
    let kept = known.quarantine.evidence(now).crashes;
    let accused: usize = kept.iter().map(|crash| crash.prompts.len()).sum();
    println!("{} crashes, {accused} prompts", kept.len());

    measure_requests(&known);
    measure_crashes(&known, prompts);
    measure_reports(&known);
}

/// Measures what each request costs.
fn measure_requests(known: &Known) {
    let now = known.now;
    let new = |count: u64| prompt(1_000_000 + count);
    // The session's part of an earlier prompt, which a crash accuses.
    let accused = |count: u64| prompt(1 + count % known.prompts.max(1));
    measure("answer to another prompt", known, false, |known, count| {
        known.quarantine.note_sound(&new(count), now);
    });
    measure(
        "answer to an accused prompt",
        known,
        true,
        |known, count| {
            known.quarantine.note_sound(&accused(count), now);
        },
    );
    measure("sign of life", known, false, |known, count| {
        let upstream = UpstreamId((count % UPSTREAMS) as u32);
        known.quarantine.note_alive(upstream, SignOfLife::Any, now);
    });
    measure("whether a prompt may go", known, false, |known, count| {
        let candidates = new(count);
        let candidates = CrashCandidates {
            shared: &candidates,
            request: PartId::Request(count),
        };
        let quarantine = &mut known.quarantine;
        black_box(quarantine.refuses(candidates));
        black_box(quarantine.avoided_upstreams(candidates, now));
        black_box(quarantine.crashed_upstreams(candidates.shared));
        black_box(quarantine.holds_request(candidates.request, now));
        black_box(quarantine.holds_parts(candidates.shared, now));
    });
    measure(
        "prompt that is sent and ends",
        known,
        false,
        |known, count| {
            let shared = new(count);
            let request = PartId::Request(count);
            let candidates = CrashCandidates {
                shared: &shared,
                request,
            };
            let upstream = UpstreamId((count % UPSTREAMS) as u32);
            known
                .quarantine
                .note_sent(candidates, RequestId(count), upstream, now);
            known.quarantine.note_ended(RequestId(count));
        },
    );
}

/// Measures what a crash costs.
fn measure_crashes(
    known: &Known,
    prompts: u64,
) {
    let now = known.now;
    measure(
        "crash under one more prompt",
        known,
        true,
        |known, count| {
            known.crash(UpstreamId((count % UPSTREAMS) as u32));
        },
    );
    measure("review", known, false, |known, _| {
        known.quarantine.review(now);
    });
    measure("review after a crash", known, true, |known, _| {
        for _ in 0..prompts {
            known.crash(UpstreamId(9_999));
        }
        known.quarantine.review(now + Millis(500));
    });
    let mut suspected = known.clone();
    for upstream in 0..5 {
        let suspect = [first_part(0), PartId::Part(0xbad), adapter(0)];
        let quarantine = &mut suspected.quarantine;
        for (upstream, number) in
            (0..FIRST_PARTS).map(|other| (UpstreamId(5_000 + upstream), other))
        {
            let other = prompt(2_000_000 + number);
            quarantine.note_crash(upstream, &other, None, suspected.now, suspected.now);
            quarantine.note_crash(upstream, &suspect, None, suspected.now, suspected.now);
        }
        suspected.now += CRASH_INTERVAL;
    }
    measure("review beside suspects", &suspected, true, |known, _| {
        known.quarantine.review(known.now);
    });
    measure("evidence for others", known, false, |known, _| {
        black_box(known.quarantine.evidence(now));
    });
}

/// Measures what it costs to learn the evidence of others.
fn measure_reports(known: &Known) {
    let now = known.now;
    let mut evidence = known.quarantine.evidence(now);
    let skipped = evidence.crashes.len().saturating_sub(64);
    evidence.crashes.drain(..skipped);
    measure(
        "evidence of 64 crashes that is known",
        known,
        false,
        |known, _| {
            known.quarantine.add_evidence(&evidence, now);
        },
    );
    let nothing = Known {
        quarantine: PartQuarantine::default(),
        ..known.clone()
    };
    measure(
        "evidence of 64 crashes that is new",
        &nothing,
        true,
        |known, _| {
            known.quarantine.add_evidence(&evidence, now);
        },
    );
}
