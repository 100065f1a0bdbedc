//! Requests that arrive while there is no leader.

use {
    jasmine_conf::settings::ColdUpstreamSettings,
    jasmine_core::{
        clock::Millis,
        ids::{Fence, Revision},
        ingress::{AccountSpec, IngressConfig, RateUnit, UpstreamEntry, UpstreamState},
        rights::Limit,
        scheduler::{RateShare, SchedulerSettings},
    },
    jasmine_entry::scheduling::{JobSpec, LocalScheduler, SchedulerNode},
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        sync::mpsc,
        task::{LocalSet, spawn_local},
        time::{sleep, timeout},
    },
};

/// Longest time of a test.
const TIME_LIMIT: Duration = Duration::from_secs(20);

/// A newly started VM among 300: its share of the account's rate limit is less than one request.
fn started_vm() -> Rc<SchedulerNode> {
    let (tasks, _orders) = mpsc::unbounded_channel();
    let local_scheduler = Rc::new(LocalScheduler::new(
        SchedulerSettings::default(),
        ColdUpstreamSettings::default(),
        tasks,
    ));
    let timers = Rc::clone(&local_scheduler);
    spawn_local(async move { timers.run().await });
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let scheduling = Rc::new(SchedulerNode::new(
        Rc::clone(&local_scheduler),
        "vm-0".to_owned(),
        address,
        1,
    ));
    let vms = (0..300).map(|number| (format!("vm-{number}"), address));
    scheduling.set_vms(vms.collect::<BTreeMap<_, _>>());
    let account = AccountSpec {
        name: "acme".to_owned(),
        limit: Some(Limit {
            rate: 1_000,
            burst: 2_000,
        }),
        unit: RateUnit::Requests,
        allowed_regions: Vec::new(),
        priority: None,
    };
    local_scheduler.set_config(&IngressConfig {
        version: Revision(1),
        accounts: vec![account],
        ..IngressConfig::default()
    });
    local_scheduler.set_upstream(&UpstreamEntry {
        id: "i-1".to_owned(),
        service: "app".to_owned(),
        address,
        data_centre: "one".to_owned(),
        build: "v1".to_owned(),
        slots: 6,
        state: UpstreamState::Ready,
        warm_up_remaining: Millis::ZERO,
        started_unix_ms: Some(1),
        holdings: None,
    });
    scheduling
}

fn call() -> JobSpec {
    JobSpec {
        number: 0,
        account: Some("acme".to_owned()),
        caller: 1,
        cost: 200,
        route: String::new(),
        service: "app".to_owned(),
        generation: None,
        priority: 1,
        route_priority: 1,
        objective: Millis(300),
        gap_objective: None,
        deadline: Millis(4_000),
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

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let limited = LocalSet::new().block_on(&rt, async { timeout(TIME_LIMIT, test).await });
    limited.expect("the test ends in time");
}

/// Guards against rate-limit refusals of most requests during an election.
#[test]
fn requests_wait_for_an_election() {
    run(async {
        let vm = started_vm();
        let elected = Rc::clone(&vm);
        spawn_local(async move {
            sleep(Duration::from_millis(300)).await;
            elected.become_leader(Fence(7), RateShare::Fresh);
        });
        let placed = vm.place(call()).await;
        assert!(placed.is_ok(), "{placed:?}");
    });
}

/// Guards against sending all requests to the few upstreams that a VM has read so far.
#[test]
fn a_partial_upstream_list_is_not_used() {
    run(async {
        let vm = started_vm();
        vm.set_partial_upstreams(true);
        let elected = Rc::clone(&vm);
        spawn_local(async move {
            sleep(Duration::from_millis(200)).await;
            elected.become_leader(Fence(7), RateShare::Fresh);
        });
        let began = std::time::Instant::now();
        assert!(vm.place(call()).await.is_ok());
        assert!(began.elapsed() >= Duration::from_millis(200));
    });
}

/// Guards against holding requests when no leader is elected: they are refused with a retry delay.
#[test]
fn requests_are_refused_without_an_election() {
    run(async {
        let vm = started_vm();
        sleep(Duration::from_millis(1_700)).await;
        let began = std::time::Instant::now();
        let refused = vm.place(call()).await.expect_err("no leader");
        assert!(refused.refusal.retry_after.is_some());
        assert!(began.elapsed() < Duration::from_millis(50));
    });
}
