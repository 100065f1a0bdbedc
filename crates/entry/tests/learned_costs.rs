//! Costs of requests that a VM learns and tells a new leader.

use {
    jasmine_conf::settings::ColdUpstreamSettings,
    jasmine_core::{
        clock::Millis,
        ingress::PromptSize,
        scheduler::{Activation, SchedulerSettings},
    },
    jasmine_entry::scheduling::{GenerationSpec, JobSpec, LocalScheduler, RunningSpec},
    tokio::sync::mpsc,
};

fn scheduler(cost_estimates: Activation) -> LocalScheduler {
    let mut settings = SchedulerSettings::default();
    settings.hard_load.cost_estimates = cost_estimates;
    let (tasks, _engines) = mpsc::unbounded_channel();
    LocalScheduler::new(settings, ColdUpstreamSettings::default(), tasks)
}

fn running(adapter: &str) -> RunningSpec {
    RunningSpec {
        job: JobSpec {
            number: 1,
            account: Some("account".to_owned()),
            caller: 0,
            cost: 1,
            service: "engines".to_owned(),
            route: "route".to_owned(),
            body_bytes: 0,
            generation: Some(GenerationSpec {
                model: "model".to_owned(),
                adapter: Some(adapter.to_owned()),
                newest: None,
                size: PromptSize {
                    prompt: 100,
                    output: 100,
                },
                length_hint: None,
                parts: Vec::new(),
            }),
            priority: 0,
            route_priority: 0,
            objective: Millis(1_000),
            gap_objective: None,
            deadline: Millis(5_000),
            attempt: 1,
            excluded_upstreams: Vec::new(),
            allowed_upstreams: Vec::new(),
            has_begun: false,
            is_hedge: false,
            data_centre: "one".to_owned(),
            allowed_data_centres: Vec::new(),
            build: None,
        },
        upstream: "e-1".to_owned(),
        version: None,
        has_begun: true,
    }
}

#[test]
fn new_leaders_learn() {
    // Guards against names that are lost on the way to a new leader, and against a follower that learns nothing.
    let follower = scheduler(Activation::On);
    for _ in 0..200 {
        follower.note_own_cost(&running("short"), Millis(50));
        follower.note_own_cost(&running("long"), Millis(1_000));
    }
    let told = follower.history();
    let adapters = told.costs.iter().map(|cost| cost.adapter.as_str());
    assert!(
        adapters.clone().any(|name| name == "model/long"),
        "{told:?}"
    );
    let leader = scheduler(Activation::On);
    // Another order of ids than at the follower.
    leader.expected_cost(&running("other").job);
    leader.expected_cost(&running("long").job);
    leader.add_history("vm-2", 1, &told);
    for (adapter, expected) in [("short", 50.0), ("long", 1_000.0)] {
        let cost = leader.expected_cost(&running(adapter).job);
        let cost = cost.expect("the part is active").0 as f64;
        assert!((cost / expected - 1.0).abs() < 0.2, "{adapter}: {cost} ms");
    }
}

#[test]
fn inactive_tells_nothing() {
    // Guards against messages that grow where nothing calls for cost estimates.
    let follower = scheduler(Activation::Auto);
    follower.note_own_cost(&running("long"), Millis(1_000));
    assert_eq!(follower.history().costs, []);
    assert_eq!(follower.expected_cost(&running("long").job), None);
}
