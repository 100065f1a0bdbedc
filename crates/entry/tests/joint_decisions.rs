//! What a leader decides about the messages of many VMs that it has read before its next turn.

use {
    jasmine_conf::settings::ColdUpstreamSettings,
    jasmine_core::{
        clock::Millis,
        ids::Revision,
        ingress::{IngressConfig, ServiceSpec, UpstreamEntry, UpstreamState},
        scheduler::{RateShare, SchedulerSettings},
    },
    jasmine_entry::scheduling::{JobSpec, LocalScheduler, Verdict},
    std::{collections::HashMap, net::SocketAddr, rc::Rc},
    tokio::{
        sync::mpsc,
        task::{LocalSet, spawn_local, yield_now},
    },
};

const REQUESTS: u64 = 100;
/// One for the requests, and one for what came before.
const MAX_DECISIONS: u64 = 2;

/// Guards against a leader that is behind and decides anew after each message that it has read.
#[actix_rt::test]
async fn one_decision_for_many_requests() {
    LocalSet::new()
        .run_until(async {
            let (tasks, _engines) = mpsc::unbounded_channel();
            let scheduler = Rc::new(LocalScheduler::new(
                SchedulerSettings::default(),
                ColdUpstreamSettings::default(),
                tasks,
            ));
            scheduler.set_config(&config());
            scheduler.set_upstream(&server());
            scheduler.set_role(true, RateShare::Fresh);
            let running = Rc::clone(&scheduler);
            spawn_local(async move { running.run().await });
            yield_now().await;
            let before = scheduler.decisions();
            let verdicts: Vec<_> = (1..=REQUESTS)
                .map(|number| scheduler.place(1, &job(number)))
                .collect();
            for verdict in verdicts {
                let verdict = verdict.await.expect("a verdict");
                assert!(matches!(verdict, Verdict::Assigned(_)), "{verdict:?}");
            }
            let decisions = scheduler.decisions() - before;
            assert!(
                decisions <= MAX_DECISIONS,
                "{decisions} decisions, expected {MAX_DECISIONS} at most"
            );
        })
        .await;
}

fn config() -> IngressConfig {
    let service = ServiceSpec {
        name: "calls".to_owned(),
        health_path: None,
        max_connections: None,
        cold_start: None,
        engine: None,
    };
    IngressConfig {
        version: Revision(1),
        services: HashMap::from([("calls".to_owned(), service)]),
        ..IngressConfig::default()
    }
}

fn server() -> UpstreamEntry {
    UpstreamEntry {
        id: "s-1".to_owned(),
        service: "calls".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "one".to_owned(),
        build: "v1".to_owned(),
        slots: 1_000,
        state: UpstreamState::Ready,
        warm_up_remaining: Millis::ZERO,
        started_unix_ms: Some(1),
        holdings: None,
    }
}

fn job(number: u64) -> JobSpec {
    JobSpec {
        number,
        account: None,
        caller: number,
        cost: 200,
        service: "calls".to_owned(),
        route: String::new(),
        generation: None,
        priority: 1,
        route_priority: 1,
        objective: Millis(300),
        gap_objective: None,
        deadline: Millis(3_000),
        body_bytes: 0,
        attempt: 1,
        excluded_upstreams: Vec::new(),
        allowed_upstreams: Vec::new(),
        has_begun: false,
        is_hedge: false,
        data_centre: "one".to_owned(),
        allowed_data_centres: Vec::new(),
        build: None,
    }
}
