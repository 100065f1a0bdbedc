//! Requests that wait for placement while the leader changes.

use {
    jasmine_conf::settings::ColdUpstreamSettings,
    jasmine_core::{
        clock::Millis,
        ids::{Fence, Revision},
        ingress::{IngressConfig, ServiceSpec, UpstreamEntry, UpstreamState},
        scheduler::{RateShare, SchedulerSettings},
    },
    jasmine_entry::{
        scheduling::{JobSpec, Leader, LocalScheduler, SchedulerNode, SchedulerServer},
        store::{Feed, KvStore},
        streams::OriginDirectory,
    },
    jasmine_wire::{link::serve, scheduler_capnp::scheduler},
    std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::mpsc,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Timeout of each step.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A VM's scheduling without the rest of the daemon.
struct Node {
    scheduling: Rc<SchedulerNode>,
    leader: Leader,
}

/// Starts a VM whose `leader` record has the fencing token `fence`.
async fn node(
    name: &str,
    fence: u64,
) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tasks, _engines) = mpsc::unbounded_channel();
    let local_scheduler = Rc::new(LocalScheduler::new(
        SchedulerSettings::default(),
        ColdUpstreamSettings::default(),
        tasks,
    ));
    local_scheduler.set_config(&config());
    let scheduling = Rc::new(SchedulerNode::new(
        local_scheduler,
        name.to_owned(),
        address,
        fence,
    ));
    scheduling.start();
    let feed = Rc::new(Feed::new(Millis(2_000)));
    let unused_address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let store = KvStore::new(unused_address, Millis(500));
    let server = SchedulerServer::new(
        Rc::clone(&scheduling),
        Rc::clone(&feed),
        store.clone(),
        Rc::new(OriginDirectory::new("vm", store, feed)),
    );
    let client: scheduler::Client = capnp_rpc::new_client(server);
    spawn_local(serve(listener, client.client));
    let leader = Leader {
        vm: name.to_owned(),
        address,
        fence: Fence(fence),
        is_leaving: false,
    };
    Node { scheduling, leader }
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

fn server(id: &str) -> UpstreamEntry {
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    UpstreamEntry {
        id: id.to_owned(),
        service: "calls".to_owned(),
        address,
        data_centre: "one".to_owned(),
        build: "v1".to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        warm_up_remaining: Millis::ZERO,
        started_unix_ms: Some(1),
        holdings: None,
    }
}

fn job() -> JobSpec {
    JobSpec {
        number: 0,
        account: None,
        caller: 0,
        cost: 1,
        service: "calls".to_owned(),
        route: String::new(),
        generation: None,
        priority: 0,
        route_priority: 0,
        objective: Millis(1_000),
        gap_objective: None,
        deadline: Millis(60_000),
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

async fn wait_until<F>(mut is_met: F)
where
    F: FnMut() -> bool,
{
    let waited = async {
        while !is_met() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, waited)
        .await
        .expect("the condition holds in time");
}

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(test);
}

#[test]
fn a_follower_asks_the_next_leader() {
    // Guards against a request that keeps waiting at the old leader after another VM is elected.
    run(async {
        let old = node("old", 1).await;
        let new = node("new", 2).await;
        let follower = node("follower", 0).await;
        old.scheduling.become_leader(Fence(1), RateShare::Fresh);
        follower.scheduling.observe_leader(old.leader.clone());
        wait_until(|| follower.scheduling.is_following()).await;
        let scheduling = Rc::clone(&follower.scheduling);
        let pending = spawn_local(async move { scheduling.place(job()).await });
        wait_until(|| old.scheduling.local_scheduler.load().0 == 1).await;

        new.scheduling
            .local_scheduler
            .set_upstream(&server("s-new"));
        new.scheduling.become_leader(Fence(2), RateShare::TakenOver);
        old.scheduling.observe_leader(new.leader.clone());
        follower.scheduling.observe_leader(new.leader.clone());
        let placed = timeout(TIMEOUT, pending)
            .await
            .expect("decided in time")
            .unwrap();
        assert_eq!(placed.expect("not refused").upstream, "s-new");
        assert_eq!(
            old.scheduling.local_scheduler.load(),
            (0, 0),
            "no request is left at the old leader"
        );
    });
}

#[test]
fn the_old_leader_asks_the_new_one() {
    // Guards against the old leader's own requests waiting in its local scheduler after another VM is elected.
    run(async {
        let old = node("old", 1).await;
        let new = node("new", 2).await;
        old.scheduling.become_leader(Fence(1), RateShare::Fresh);
        let scheduling = Rc::clone(&old.scheduling);
        let pending = spawn_local(async move { scheduling.place(job()).await });
        wait_until(|| old.scheduling.local_scheduler.load().0 == 1).await;

        new.scheduling
            .local_scheduler
            .set_upstream(&server("s-new"));
        new.scheduling.become_leader(Fence(2), RateShare::TakenOver);
        old.scheduling.observe_leader(new.leader.clone());
        let placed = timeout(TIMEOUT, pending)
            .await
            .expect("decided in time")
            .unwrap();
        assert_eq!(placed.expect("not refused").upstream, "s-new");
    });
}

#[test]
fn an_unresponsive_leader_is_bypassed() {
    // Guards against waiting until the deadline for a leader that accepts connections but never answers.
    run(async {
        let follower = node("follower", 0).await;
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        follower
            .scheduling
            .local_scheduler
            .set_upstream(&server("s-own"));
        follower.scheduling.observe_leader(Leader {
            vm: "dead".to_owned(),
            address: silent.local_addr().unwrap(),
            fence: Fence(7),
            is_leaving: false,
        });
        let placed = timeout(TIMEOUT, follower.scheduling.place(job())).await;
        assert_eq!(
            placed
                .expect("decided in time")
                .expect("not refused")
                .upstream,
            "s-own"
        );
    });
}

#[test]
fn an_older_leader_is_ignored() {
    // Guards against following an earlier leader whose announcement arrives after that of a later one.
    run(async {
        let follower = node("follower", 0).await;
        let newer = node("newer", 9).await;
        let older = node("older", 3).await;
        follower.scheduling.observe_leader(newer.leader.clone());
        follower.scheduling.observe_leader(older.leader.clone());
        assert_eq!(follower.scheduling.leader(), Some(newer.leader));
    });
}
