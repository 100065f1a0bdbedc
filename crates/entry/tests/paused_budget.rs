//! Each part of the bound on repeats while upstreams are suspended and VMs, their links or the store fail.

mod deployment;

use {
    deployment::paused_site::{Findings, PausedSite, Plan, SiteSpec, Suspensions},
    jasmine_testkit::proxy::Fault,
    nix::sys::signal::Signal,
    std::{
        sync::{Mutex, PoisonError},
        thread,
        time::Duration,
    },
};

/// One site at a time: each has some thirty processes.
static SITE: Mutex<()> = Mutex::new(());

const ALL: &[&str] = &["app", "calls", "llm"];
const CALLERS: &[(&str, usize)] = &[
    ("/stream/x", 4),
    ("/once/x", 1),
    ("/read/x", 2),
    ("/write/x", 1),
    ("/talk/x", 5),
    ("/model/x", 1),
];
const fn at(
    ms: u64,
    share: f64,
    time_ms: u64,
) -> (Duration, f64, Duration) {
    (
        Duration::from_millis(ms),
        share,
        Duration::from_millis(time_ms),
    )
}

/// The silences of the incident's day.
const HUSHED: Suspensions = &[
    at(4_600, 1.0, 1_200),
    at(10_600, 0.6, 1_100),
    at(16_600, 1.0, 1_300),
    at(22_600, 0.6, 1_000),
];
/// Long enough that streams are sent elsewhere, and as far apart as a window.
const LONG: Suspensions = &[
    at(4_000, 0.8, 1_800),
    at(8_900, 0.8, 1_800),
    at(13_700, 0.8, 1_800),
];

/// Two silences nearly a window apart, and between them a change of the configuration only.
const AROUND_CHANGE: Suspensions = &[
    at(12_000, 0.9, 1_800),
    at(14_300, 0.0, 500),
    at(21_200, 0.9, 1_800),
];
/// Shorter than what calls may be late by.
const CALLS_SILENT: Suspensions = &[
    at(2_000, 1.0, 1_100),
    at(5_000, 0.67, 1_100),
    at(8_000, 0.34, 1_100),
];
const MANY_STREAMS: &[(&str, usize)] = &[("/stream/x", 40)];

/// Generations that last three seconds.
const fn site(name: &'static str) -> SiteSpec {
    SiteSpec {
        name,
        stream_events: 400,
        engines: 9,
        generation_gap_ms: 10,
        further_events: 300,
    }
}

fn play(
    spec: &SiteSpec,
    services: &[&'static str],
    suspensions: Suspensions,
    disturb: &dyn Fn(&mut PausedSite, usize),
) -> Findings {
    play_with(
        spec,
        &Plan {
            services,
            suspensions,
            callers: CALLERS,
            disturb,
        },
    )
}

fn play_with(
    spec: &SiteSpec,
    plan: &Plan<'_>,
) -> Findings {
    let _only_one = SITE.lock().unwrap_or_else(PoisonError::into_inner);
    PausedSite::start(spec).play(plan)
}

fn assert_kept(findings: &Findings) {
    let violations = findings.violations();
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn long_generations() {
    // Guards against generations of seconds that are repeated beyond the budget or on more engines than allowed.
    assert_kept(&play(&site("generations"), &["llm"], HUSHED, &|_, _| {}));
}

#[test]
fn all_silent() {
    // The same while nothing answers, so that VMs take their links for lost and relay.
    assert_kept(&play(&site("silent"), ALL, LONG, &|_, _| {}));
}

#[test]
fn killed_leaders() {
    // Guards against leaders that each use a budget of their own.
    let kill = |site: &mut PausedSite, _: usize| {
        let leader = site.leader();
        site.start_vm(leader, false);
    };
    assert_kept(&play(&site("killed"), &["app", "llm"], LONG, &kill));
}

/// Lets many streams meet two silences nearly a window apart, with a change of the VMs between them.
fn assert_kept_around(
    name: &'static str,
    change: &dyn Fn(&mut PausedSite),
) {
    let findings = play_with(
        &site(name),
        &Plan {
            services: &["app"],
            suspensions: AROUND_CHANGE,
            callers: MANY_STREAMS,
            disturb: &|site, number| {
                if number == 1 {
                    change(site);
                }
            },
        },
    );
    assert_kept(&findings);
}

#[test]
fn handover_between_silences() {
    // Guards against a successor that allows retries for requests of before its takeover once more.
    assert_kept_around("handover", &|site| {
        let leader = site.leader();
        site.stop_vm(leader);
    });
}

#[test]
fn kills_between_silences() {
    // Guards against a successor that takes the retries of killed VMs for none.
    assert_kept_around("kills", &|site| {
        let (leader, count) = (site.leader(), site.vms.len());
        for vm in (0..3).map(|at| (leader + at) % count) {
            site.vms[vm] = None;
        }
    });
}

#[test]
fn restarts_between_silences() {
    // The same where all VMs are killed at once and start again.
    assert_kept_around("restarts", &|site| {
        for vm in 0..site.vms.len() {
            site.start_vm(vm, false);
        }
    });
}

#[test]
fn silent_calls() {
    // Guards against calls that run on more upstreams than allowed, or are sent once more with more time than is left.
    let findings = play_with(
        &site("calls"),
        &Plan {
            services: &["calls"],
            suspensions: CALLS_SILENT,
            callers: &[("/read/x", 10), ("/write/x", 2), ("/stream/x", 1)],
            disturb: &|_, _| {},
        },
    );
    assert!(findings.repeated_calls > 0, "no call was sent once more");
    assert_kept(&findings);
}

#[test]
fn vms_cut_off() {
    // Guards against VMs that use a budget of their own while neither the store nor the leader answers.
    let cut = |site: &mut PausedSite, number: usize| {
        let leader = site.leader();
        let others = (0..site.vms.len()).filter(|&vm| vm != leader);
        let cut: Vec<usize> = others.skip(number).take(2).chain([leader]).collect();
        for &vm in &cut {
            site.store_links[vm].set_mode(Fault::Cut);
        }
        let signal = |signal| site.vms[leader].as_ref().unwrap().signal(signal);
        signal(Signal::SIGSTOP);
        thread::sleep(Duration::from_millis(2_500));
        signal(Signal::SIGCONT);
        for &vm in &cut {
            site.store_links[vm].set_mode(Fault::Pass);
        }
    };
    assert_kept(&play(&site("cut"), &["app", "llm"], LONG, &cut));
}
