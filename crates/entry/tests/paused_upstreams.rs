//! Upstreams whose processes are suspended while the configuration changes, and go on with what they have received.

mod deployment;

use {
    deployment::paused_site::{PausedSite, Plan, SiteSpec, Suspensions},
    std::time::Duration,
};

/// Events of a stream, 5 ms each.
const EVENTS: u64 = 150;
const LONG_STREAM: u64 = 800;
const SUSPENSIONS: Suspensions = &[
    (Duration::from_secs(2), 1.0, Duration::from_millis(1_200)),
    (Duration::from_secs(6), 0.6, Duration::from_millis(1_100)),
    (Duration::from_secs(10), 1.0, Duration::from_millis(1_300)),
];
/// Nearly a window apart, and long enough that streams are repeated elsewhere.
const APART: Suspensions = &[
    (Duration::from_secs(4), 0.8, Duration::from_millis(1_800)),
    (
        Duration::from_millis(13_800),
        0.8,
        Duration::from_millis(1_800),
    ),
];
const CALLERS: &[(&str, usize)] = &[
    ("/stream/x", 4),
    ("/once/x", 2),
    ("/read/x", 1),
    ("/write/x", 1),
    ("/model/x", 2),
];

/// Calls all routes through all VMs while upstreams of these services are suspended; returns what was broken.
fn suspend_under_load(
    name: &'static str,
    stream_events: u64,
    services: &[&'static str],
    suspensions: Suspensions,
    callers: &[(&'static str, usize)],
) -> Vec<String> {
    let site = PausedSite::start(&SiteSpec {
        name,
        stream_events,
        engines: 3,
        generation_gap_ms: 300,
        further_events: 0,
    });
    let findings = site.play(&Plan {
        services,
        suspensions,
        callers,
        disturb: &|_, _| {},
    });
    let mut violations = findings.violations();
    let exceeded = findings.excess_of_arrived.iter();
    violations.extend(
        exceeded
            .filter(|(_, excess)| **excess > 0.0)
            .map(|(service, excess)| format!("{excess:.1} too many for what arrived at {service}")),
    );
    violations
}

#[test]
fn suspended_generators() {
    // Guards against repeats beyond the budget, second runs and false refusals while upstreams of streams are silent.
    let violations =
        suspend_under_load("generators", EVENTS, &["app", "llm"], SUSPENSIONS, CALLERS);
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn suspended_services() {
    // The same while nothing answers, so that VMs take their links for lost.
    let violations = suspend_under_load(
        "services",
        EVENTS,
        &["app", "llm", "calls"],
        SUSPENSIONS,
        CALLERS,
    );
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn suspensions_apart() {
    // Guards against two bursts of repeats in one window of the retry budget.
    let violations = suspend_under_load(
        "apart",
        LONG_STREAM,
        &["app"],
        APART,
        &[("/stream/x", 14), ("/read/x", 1)],
    );
    assert!(violations.is_empty(), "{violations:#?}");
}
