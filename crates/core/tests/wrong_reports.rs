//! Load reports that are wrong, and a scheduler that takes over.

mod paced_world;
mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        load_reports::{HeardLoad, LoadReport, Pace, PaceEstimate},
        scheduler::{Activation, AttemptHistory, ImplausibleReports, UpstreamSignals},
    },
    paced_world::{Change, Chooser, Kind, Reports, Setup, Simulation, mean_response_ms, settings},
    scheduler_world::{World, call},
};

const ON: Chooser = Chooser::Scheduler(Activation::On);
const OFF: Chooser = Chooser::Scheduler(Activation::Off);
const START: Millis = Millis(100_000);

fn setup(kind: Kind) -> Setup {
    Setup {
        kind,
        change: Change::AroundOwn,
        reports: Reports::None,
        chooser: ON,
        upstreams: 6,
        load: 0.6,
        seconds: 8,
        seed: 1,
    }
}

fn report(pace: u32) -> LoadReport {
    LoadReport {
        running: 1,
        waiting: 0,
        slots: Some(6),
        pace: Pace::from_percent(pace),
    }
}

fn heard(
    report: LoadReport,
    heard_at: Millis,
) -> UpstreamSignals {
    UpstreamSignals {
        load: Some(HeardLoad { report, heard_at }),
        ..UpstreamSignals::default()
    }
}

/// Mean time to the response beside that with the part off, over some seeds.
fn beside_before(setup: Setup) -> f64 {
    let mean_ms = |setup: Setup| -> f64 {
        let seeds = 1..=3;
        seeds
            .map(|seed| mean_response_ms(Setup { seed, ..setup }))
            .sum()
    };
    let before = mean_ms(Setup {
        chooser: OFF,
        ..setup
    });
    let ratio = mean_ms(setup) / before;
    println!(
        "{:?} {:?} {:?}: {ratio:.3} of before",
        setup.kind, setup.change, setup.reports
    );
    ratio
}

#[test]
fn wrong_constant_pace() {
    // Guards against an upstream that reports the usual pace while its calls take five times as long, and is believed.
    let mut estimate = PaceEstimate::default();
    for at in (0..2_000).step_by(20).map(|ms| START + Millis(ms)) {
        let report = report(100);
        let heard_at = at;
        estimate.note_report(HeardLoad { report, heard_at }, at);
        estimate.note_duration(300.0, 60.0, at);
    }
    let factor = estimate.factor(START + Millis(2_000));
    assert!((4.0..=6.0).contains(&factor), "{factor}, expected 5");
}

#[test]
fn wrong_reports_are_no_worse_than_none() {
    // Guards against reports that don't agree with measured times and are followed all the same.
    for kind in [Kind::Call, Kind::Generation] {
        for reports in [Reports::Always(100), Reports::Random] {
            let setup = Setup {
                reports,
                ..setup(kind)
            };
            let ratio = beside_before(setup);
            assert!(ratio <= 1.0, "{kind:?} {reports:?}: {ratio:.3}");
        }
    }
}

#[test]
fn stopped_reports() {
    // Guards against an upstream that is taken for slow for good as its last report said so.
    let mut estimate = PaceEstimate::default();
    for at in (0..2_000).step_by(20).map(|ms| START + Millis(ms)) {
        let pace = if at.0 % 200 < 100 { 50 } else { 150 };
        let (report, heard_at) = (report(pace), at);
        estimate.note_report(HeardLoad { report, heard_at }, at);
        estimate.note_duration(0.6 * f64::from(pace), 60.0, at);
    }
    let newest = estimate.factor(START + Millis(1_980));
    let later = estimate.factor(START + Millis(10_000));
    assert!(newest > 1.3, "{newest}, expected 1.5");
    assert!((0.8..=1.2).contains(&later), "{later}, expected 1");
}

#[test]
fn impossible_reports() {
    // Guards against a report of more requests than an upstream has slots, and against a log line for each such report.
    let mut world = World::with(0, settings(Activation::On), true);
    world.add_server(UpstreamId(0));
    let impossible = LoadReport {
        running: 7,
        ..report(1_000)
    };
    let ignored = |world: &mut World| world.scheduler.take_implausible_reports(world.now);
    for _ in 0..10 {
        let signals = heard(impossible, world.now);
        let (sent_at, now) = (world.now, world.now);
        world
            .scheduler
            .note_own_signals(UpstreamId(0), &signals, sent_at, now);
    }
    world.scheduler.note_implausible_report(UpstreamId(0));
    let upstream = UpstreamId(0);
    let told = vec![ImplausibleReports {
        upstream,
        count: 11,
    }];
    assert_eq!(ignored(&mut world), told);
    let summary = world.scheduler.pace_summary(world.now);
    assert_eq!((summary.highest_percent, summary.implausible), (100, 11));
    world.scheduler.note_implausible_report(UpstreamId(0));
    world.now += Millis(59_000);
    assert_eq!(ignored(&mut world), Vec::new());
    world.now += Millis(1_000);
    let told = vec![ImplausibleReports { upstream, count: 1 }];
    assert_eq!(ignored(&mut world), told);
}

#[test]
fn takeover_keeps_base() {
    // Guards against a new scheduler that takes machines that are always slow for usual ones.
    let mut simulation = Simulation::new(setup(Kind::Call));
    simulation.run(10_000);
    let before = &mut simulation.world;
    let history = before.scheduler.attempt_history(before.now);
    let mut world = World::with(0, settings(Activation::On), true);
    for id in 0..6 {
        world.add_server(UpstreamId(id));
    }
    let history = AttemptHistory {
        stated: history.stated,
        ..AttemptHistory::default()
    };
    world
        .scheduler
        .add_attempt_history(1, 1, &history, world.now);
    world.advance(60_000);
    let calls: Vec<u64> = (0..12).map(|_| world.place(call(world.now))).collect();
    for number in calls {
        let upstream = world.sent_to(number).expect("there are free slots");
        assert!(upstream.0 % 3 < 2, "{upstream:?} takes three times as long");
    }
}

#[test]
fn inactive_as_before() {
    // Guards against reports that change decisions where the part is off, or on only for upstreams that report a pace.
    let pace_is_none = Reports::Always(0);
    for kind in [Kind::Call, Kind::Generation] {
        let run = |activation, reports| {
            let mut simulation = Simulation::new(Setup {
                reports,
                chooser: Chooser::Scheduler(activation),
                ..setup(kind)
            });
            simulation.run(8_000);
            (simulation.response_ms, simulation.sent_to)
        };
        let before = run(Activation::Off, Reports::None);
        assert_eq!(run(Activation::Off, Reports::True { late: 0 }), before);
        assert_eq!(run(Activation::Auto, pace_is_none), before);
        assert_ne!(run(Activation::Auto, Reports::True { late: 0 }), before);
    }
}
