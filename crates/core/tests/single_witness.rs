//! Upstreams that crash by themselves or lose answers: adapters that only they hold stay in service.

mod faulty_world;
mod scheduler_world;

use {
    faulty_world::{Faults, FaultyWorld, Measured, Site},
    jasmine_core::clock::Millis,
    std::collections::BTreeSet,
};

/// Crashes after which a part has to be known.
const MAX_CRASHES: usize = 5;
/// Requests with a part that may reach engines once it has to be known.
const MAX_LATE: usize = 3;
/// Runs of each kind.
const SEEDS: u64 = 60;

fn sound_site() -> Site {
    Site {
        engines: 6,
        adapters_each: 1,
        interval: Millis(900),
        prompts_from: Millis::ZERO,
        faults: Faults {
            broken: BTreeSet::new(),
            broken_at: Millis(3_000)..Millis(9_000),
            broken_share: 1.0,
            crashes: Vec::new(),
            crashing_adapter: None,
        },
        time: Millis(15_000),
    }
}

/// Plays a site with several seeds; returns those in which an adapter was refused.
fn seeds_with_refusals<F>(
    site: F,
    name: &str,
) -> Vec<u64>
where
    F: Fn(u64) -> Site,
{
    let mut failed = Vec::new();
    let (mut broken, mut answered) = (0, 0);
    for seed in 1..=SEEDS {
        let measured = FaultyWorld::run(&site(seed), seed);
        broken += measured.broken;
        answered += measured.answered;
        if !measured.refused.is_empty() {
            println!("{name}, seed {seed}: {:?}", measured.refused);
            failed.push(seed);
        }
    }
    println!(
        "{name}: {} of {SEEDS} refuse; {broken} broken, {answered} answered",
        failed.len()
    );
    failed
}

#[test]
fn one_upstream_that_breaks_answers_off() {
    // Guards against refusing what only an upstream has that breaks each answer off and goes on.
    for (interval, adapters_each) in [(300, 1), (900, 1), (1_600, 1), (900, 2), (2_500, 2)] {
        for prompts_from in [0, 3_000] {
            let site = |_| {
                let mut site = sound_site();
                site.interval = Millis(interval);
                site.adapters_each = adapters_each;
                site.prompts_from = Millis(prompts_from);
                site.faults.broken = BTreeSet::from([0]);
                site
            };
            let name = format!("each {interval} ms, {adapters_each} adapters, from {prompts_from}");
            assert_eq!(seeds_with_refusals(site, &name), [], "{name}");
        }
    }
}

#[test]
fn one_upstream_that_crashes_by_itself() {
    // Guards against refusing what only an upstream has that crashes by itself time after time.
    for (interval, prompts_from) in [(100, 0), (300, 0), (900, 0), (100, 3_000), (300, 3_000)] {
        let site = |seed| {
            let mut site = sound_site();
            site.interval = Millis(interval);
            site.prompts_from = Millis(prompts_from);
            let crashes = 0..3 + seed % 4;
            site.faults.crashes = crashes.map(|at| Millis(4_000 + 1_800 * at)).collect();
            site
        };
        let name = format!("each {interval} ms, from {prompts_from}");
        assert_eq!(seeds_with_refusals(site, &name), [], "{name}");
    }
}

#[test]
fn several_upstreams_that_lose_answers() {
    // Guards against refusing sound adapters because a share of the answers of several upstreams is reset.
    for share in [0.05, 0.2, 0.4] {
        for interval in [100, 400, 1_200] {
            let site = |seed| {
                let mut site = sound_site();
                site.interval = Millis(interval);
                site.prompts_from = Millis([0, 3_000][seed as usize % 2]);
                site.faults.broken = BTreeSet::from([0, 1, 2, 3]);
                site.faults.broken_share = share;
                site
            };
            let name = format!("{share} of the answers, each {interval} ms");
            assert_eq!(seeds_with_refusals(site, &name), [], "{name}");
        }
    }
}

#[test]
fn all_upstreams_lose_answers() {
    // Guards against refusing sound adapters because answers of all upstreams are reset just as they are first asked for.
    let site = |_| {
        let mut site = sound_site();
        site.interval = Millis(1_200);
        site.prompts_from = Millis(3_000);
        site.faults.broken = (0..6).collect();
        site.faults.broken_share = 0.4;
        site
    };
    assert_eq!(seeds_with_refusals(site, "all"), []);
}

fn crashing_site(engines: u32) -> Site {
    let mut site = sound_site();
    site.engines = engines;
    site.interval = Millis(500);
    site.faults.crashing_adapter = Some(0);
    site.time = Millis(40_000);
    site
}

fn assert_found(
    measured: &Measured,
    seed: u64,
) {
    let part = BTreeSet::from([faulty_world::adapter_part(0)]);
    assert!(
        measured.refused.contains(&part),
        "seed {seed}: {measured:?}"
    );
    assert_eq!(measured.refused.len(), 1, "seed {seed}: {measured:?}");
}

#[test]
fn an_adapter_of_one_upstream_is_found() {
    // Guards against an adapter that crashes its only holder each time, and is never tried elsewhere.
    for seed in 1..=SEEDS {
        let measured = FaultyWorld::run(&crashing_site(6), seed);
        assert_found(&measured, seed);
        let crashes = measured.crashed.len();
        assert!(crashes <= MAX_CRASHES, "seed {seed}: {crashes} crashes");
        let upstreams: BTreeSet<_> = measured.crashed.iter().collect();
        assert!(upstreams.len() > 1, "seed {seed}: {measured:?}");
    }
}

#[test]
fn an_adapter_without_other_upstreams_is_found() {
    // Guards against an adapter that crashes the only upstream of its service without an end.
    for seed in 1..=SEEDS {
        let measured = FaultyWorld::run(&crashing_site(1), seed);
        assert_found(&measured, seed);
        let crashes = measured.crashed.len();
        let bound = MAX_CRASHES + MAX_LATE;
        assert!(crashes <= bound, "seed {seed}: {crashes} crashes");
    }
}
