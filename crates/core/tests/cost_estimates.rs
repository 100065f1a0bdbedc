//! What is learned of the cost of requests, and what the scheduler does with it.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        costs::{
            CostEstimate, CostKey, CostModel, CostPrior, LearnedCost, MAX_ENTRIES, RunningWork,
        },
        ids::{AccountId, AdapterId, RequestId, RouteId, ServiceId, UpstreamId},
        scheduler::{Activation, HardLoadSettings, Job, Outcome, SchedulerSettings, Work},
    },
    scheduler_world::{World, call, generation},
};

const NOW: Millis = Millis(1_000_000);

fn key(account: u32) -> CostKey {
    CostKey {
        service: ServiceId(1),
        route: Some(RouteId(1)),
        account: Some(AccountId(account)),
        adapter: None,
    }
}

fn mean(
    costs: &CostModel,
    account: u32,
    now: Millis,
) -> f64 {
    costs.estimate(&key(account), CostPrior::Call, now).mean_ms
}

/// Whether an estimate is within a fifth of what is expected.
fn is_near(
    value: f64,
    expected: f64,
) -> bool {
    (value / expected - 1.0).abs() < 0.2
}

#[test]
fn accounts_differ() {
    // Guards against one mean over accounts whose requests look alike, and against one that follows the mix of accounts.
    let mut costs = CostModel::default();
    for at in 0..2_000 {
        let account = if at % 4 == 0 { 2 } else { 1 };
        let took = if account == 1 { 10.0 } else { 200.0 };
        costs.note(&key(account), CostPrior::Call, took, NOW);
    }
    for _ in 0..500 {
        costs.note(&key(2), CostPrior::Call, 200.0, NOW);
    }
    assert!(
        is_near(mean(&costs, 1, NOW), 10.0),
        "{}",
        mean(&costs, 1, NOW)
    );
    assert!(
        is_near(mean(&costs, 2, NOW), 200.0),
        "{}",
        mean(&costs, 2, NOW)
    );
    let deviation = costs.estimate(&key(1), CostPrior::Call, NOW).deviation_ms;
    assert!(deviation < 5.0, "deviation of equal costs: {deviation}");
}

#[test]
fn wrong_costs_recover() {
    // Guards against a learned cost that is wrong by ten for good, in both directions.
    for (wrong, right) in [(10.0, 100.0), (100.0, 10.0)] {
        let mut costs = CostModel::default();
        for account in [1, 2] {
            for _ in 0..1_000 {
                costs.note(&key(account), CostPrior::Call, wrong, NOW);
            }
        }
        for _ in 0..150 {
            costs.note(&key(1), CostPrior::Call, right, NOW);
        }
        let learned = mean(&costs, 1, NOW);
        assert!(
            (learned / right - 1.0).abs() < 0.5,
            "{learned} in place of {right}"
        );
    }
}

#[test]
fn outliers_are_bounded() {
    // Guards against one stalled request that makes an account look costly.
    let mut costs = CostModel::default();
    for _ in 0..100 {
        costs.note(&key(1), CostPrior::Call, 10.0, NOW);
    }
    costs.note(&key(1), CostPrior::Call, 1e9, NOW);
    costs.note(&key(1), CostPrior::Call, f64::NAN, NOW);
    assert!(mean(&costs, 1, NOW) < 20.0, "{}", mean(&costs, 1, NOW));
}

#[test]
fn costs_are_forgotten() {
    // Guards against ratios that stay in force long after they were observed.
    let mut costs = CostModel::default();
    for _ in 0..1_000 {
        costs.note(&key(1), CostPrior::Call, 10.0, NOW);
        costs.note(&key(2), CostPrior::Call, 100.0, NOW);
    }
    let later = NOW + Millis::from_secs(1_200);
    let (one, other) = (mean(&costs, 1, later), mean(&costs, 2, later));
    assert!(other / one < 1.1, "after 20 half-lives: {one} and {other}");
}

#[test]
fn full_table() {
    // Guards against a table that grows without bound, or forgets what is in use.
    let mut costs = CostModel::default();
    for account in 0..MAX_ENTRIES as u32 + 5_000 {
        costs.note(&key(1_000_000 + account), CostPrior::Call, 10.0, NOW);
        costs.note(&key(1), CostPrior::Call, 100.0, NOW);
    }
    assert!(costs.len() <= MAX_ENTRIES + 1, "{} entries", costs.len());
    assert!(
        is_near(mean(&costs, 1, NOW), 100.0),
        "{}",
        mean(&costs, 1, NOW)
    );
}

#[test]
fn garbage_is_ignored() {
    // Guards against figures of another VM that break the estimates.
    let mut costs = CostModel::default();
    costs.note(&key(1), CostPrior::Call, 10.0, NOW);
    let before = costs.estimate(&key(1), CostPrior::Call, NOW);
    let told = LearnedCost {
        key: CostKey {
            service: ServiceId(1),
            route: None,
            account: None,
            adapter: None,
        },
        mean: 20.0,
        deviation: 0.5,
        weight: 10.0,
    };
    let garbage = [
        LearnedCost {
            mean: f64::NAN,
            ..told
        },
        LearnedCost {
            mean: f64::INFINITY,
            ..told
        },
        LearnedCost { mean: 0.0, ..told },
        LearnedCost { mean: -1.0, ..told },
        LearnedCost {
            mean: 1e300,
            ..told
        },
        LearnedCost {
            deviation: f64::NAN,
            ..told
        },
        LearnedCost {
            deviation: -1.0,
            ..told
        },
        LearnedCost {
            weight: f64::INFINITY,
            ..told
        },
        LearnedCost {
            weight: 0.0,
            ..told
        },
        LearnedCost {
            mean: 1e4,
            key: key(1),
            ..told
        },
        LearnedCost {
            key: CostKey {
                adapter: Some(AdapterId(1)),
                ..key(1)
            },
            ..told
        },
    ];
    for cost in garbage {
        assert!(!costs.merge(&cost, NOW), "credible: {cost:?}");
    }
    assert_eq!(costs.estimate(&key(1), CostPrior::Call, NOW), before);
    assert!(costs.merge(
        &LearnedCost {
            weight: 1e12,
            ..told
        },
        NOW
    ));
    for _ in 0..1_000 {
        costs.note(&key(1), CostPrior::Call, 10.0, NOW);
    }
    assert!(
        is_near(mean(&costs, 1, NOW), 10.0),
        "a huge weight stays in force"
    );
}

#[test]
fn hints_are_weighed() {
    // Guards against hints that are followed where they are far off, or ignored where they are right.
    for (is_right, hints) in [(true, [50_u32, 800]), (false, [800, 50])] {
        let mut costs = CostModel::default();
        let prior = |hint: u32| CostPrior::Generation {
            max_tokens: 1_000,
            hint: Some(hint),
        };
        let key = CostKey {
            account: None,
            ..key(0)
        };
        for at in 0..2_000 {
            // Wrong hints don't tell the two outputs apart.
            let hint = hints[if is_right { at % 2 } else { at / 2 % 2 }];
            let tokens = [50.0, 800.0][at % 2];
            costs.note(&key, prior(hint), tokens * 10.0, NOW);
        }
        let estimate = |hint: u32| costs.estimate(&key, prior(hint), NOW).mean_ms;
        let ratio = estimate(800) / estimate(50);
        assert_eq!(ratio > 8.0, is_right, "ratio {ratio}");
        assert_eq!(ratio < 2.0, !is_right, "ratio {ratio}");
        let (work, prior) = (costs.estimate(&key, prior(50), NOW), prior(50));
        let tokens = costs
            .output_tokens(&key, prior, work)
            .expect("enough was learned");
        assert_eq!(tokens < 400, is_right, "{tokens} tokens reserved");
    }
}

#[test]
fn overdue_requests_remain() {
    // Guards against requests beyond their expected end that count as no work.
    let mut work = RunningWork::default();
    let estimate = CostEstimate {
        mean_ms: 100.0,
        deviation_ms: 50.0,
    };
    work.add(RequestId(1), estimate, Some(1), NOW);
    work.add(RequestId(2), estimate, Some(1), NOW);
    let at = |ms: u64| work.remaining(NOW + Millis(ms));
    assert!(
        is_near(at(0), 200.0) && at(50) < at(0) && at(100) > 130.0,
        "{}",
        at(100)
    );
    assert!(at(10_000) > 130.0, "{}", at(10_000));
    assert!(work.slot_wait(3, NOW) < f64::EPSILON, "a slot is free");
    assert_eq!(
        work.remove(RequestId(1), Some(1), NOW + Millis(80)),
        Some(NOW)
    );
    let started = work.remove(RequestId(2), Some(1), NOW + Millis(200));
    assert_eq!(
        started,
        Some(NOW + Millis(80)),
        "it took the slot of the first"
    );
}

fn world(cost_estimates: Activation) -> World {
    let hard_load = HardLoadSettings {
        cost_estimates,
        ..HardLoadSettings::default()
    };
    let settings = SchedulerSettings {
        hard_load,
        ..SchedulerSettings::default()
    };
    let mut world = World::with(1, settings, true);
    world.add_server(UpstreamId(10));
    world
}

fn account_call(
    account: u32,
    now: Millis,
) -> Job {
    Job {
        account: Some(AccountId(account)),
        route: Some(RouteId(0)),
        ..call(now)
    }
}

/// Runs calls of two accounts that cost 10 and 200 ms.
fn learn(world: &mut World) {
    for at in 0..200 {
        let (account, took) = if at % 2 == 0 { (1, 10) } else { (2, 200) };
        let number = world.place(account_call(account, world.now));
        world.advance(took);
        world.end(number, Outcome::Answered { took: Millis(took) });
    }
}

#[test]
fn takeovers_keep_costs() {
    // Guards against a new scheduler that knows nothing, and against a VM that counts twice.
    let mut old = world(Activation::On);
    learn(&mut old);
    let told = old.scheduler.cost_history(old.now);
    assert!((3..=64).contains(&told.len()), "{told:?}");
    let mut new = world(Activation::On);
    assert_eq!(new.scheduler.add_cost_history(7, &told, new.now), 0);
    let cost = |world: &World, account| {
        let job = account_call(account, world.now);
        world
            .scheduler
            .expected_cost(&job, world.now)
            .map(|cost| cost.mean_ms)
    };
    for (account, expected) in [(1, 10.0), (2, 200.0)] {
        let learned = cost(&new, account).expect("the part is active");
        assert!(
            is_near(learned, expected),
            "{learned} in place of {expected}"
        );
    }
    let before = cost(&new, 2);
    let doubled: Vec<_> = told
        .iter()
        .map(|&cost| LearnedCost {
            mean: cost.mean * 2.0,
            ..cost
        })
        .collect();
    new.scheduler.add_cost_history(7, &doubled, new.now);
    assert_eq!(
        cost(&new, 2),
        before,
        "a VM that connects again counted twice"
    );
}

#[test]
fn followers_learn() {
    // Guards against a standby that knows no costs when its leader is lost.
    let mut world = world(Activation::On);
    for _ in 0..100 {
        let job = account_call(3, world.now);
        world
            .scheduler
            .note_own_cost(&job, UpstreamId(10), Millis(300), world.now);
    }
    let cost = world
        .scheduler
        .expected_cost(&account_call(3, world.now), world.now);
    assert!(
        cost.is_some_and(|cost| is_near(cost.mean_ms, 300.0)),
        "{cost:?}"
    );
}

#[test]
fn inactive_is_unchanged() {
    // Guards against estimates where nothing calls for them.
    let mut world = world(Activation::Auto);
    learn(&mut world);
    assert_eq!(world.scheduler.costs_len(), 0);
    assert_eq!(
        world
            .scheduler
            .expected_cost(&account_call(2, world.now), world.now),
        None
    );
    assert_eq!(world.scheduler.cost_history(world.now), []);
}

#[test]
fn reservations_are_released() {
    // Guards against memory that stays reserved as the estimate changes while a request runs.
    let mut world = world(Activation::On);
    world.add_engine(UpstreamId(0), &[1]);
    let start = |world: &mut World| {
        let mut job = generation(1, world.now);
        if let Work::Generation(generation) = &mut job.work {
            generation.size.output = 30_000;
            generation.length_hint = Some(100);
        }
        let number = world.place(job);
        world.first_event(number);
        number
    };
    // The stated maxima of the first ones fill the memory; later ones need little.
    for _ in 0..40 {
        let numbers: Vec<u64> = (0..3).map(|_| start(&mut world)).collect();
        world.advance(300);
        for number in numbers {
            world.end(number, Outcome::Answered { took: Millis(300) });
        }
    }
    let numbers: Vec<u64> = (0..60).map(|_| start(&mut world)).collect();
    let sent = numbers
        .iter()
        .filter(|&&number| world.sent_to(number).is_some());
    assert!(
        sent.count() >= 55,
        "memory for 3,000 tokens is left for each"
    );
}
