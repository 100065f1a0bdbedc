//! Measures the leader's CPU time per request placed for other entry VMs, including RPC handling.
//!
//! `cargo run --release -p jasmine-entry --example scheduler_calls -- <VMs> <requests per second> <seconds>`
//!
//! The requests are calls of a service with free slots for all, so that the scheduling decisions themselves are cheap.

use {
    jasmine_conf::settings::ColdUpstreamSettings,
    jasmine_core::{
        clock::Millis,
        ids::{Fence, Revision},
        ingress::{IngressConfig, ServiceSpec, UpstreamEntry, UpstreamState},
        quarantine::AttemptEvidence,
        scheduler::{Outcome, RateShare, SchedulerSettings},
    },
    jasmine_entry::{
        scheduling::{JobSpec, Leader, LocalScheduler, SchedulerNode, SchedulerServer},
        store::{Feed, KvStore},
        streams::OriginDirectory,
    },
    jasmine_wire::{link::serve, scheduler_capnp::scheduler},
    nix::time::{ClockId, clock_gettime},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        sync::mpsc::{Receiver, Sender, channel},
        thread,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::mpsc,
        task::spawn_local,
        time::{interval, sleep},
    },
};

/// VMs, requests per second and seconds.
const DEFAULTS: [u64; 3] = [62, 850, 10];
const FENCE: Fence = Fence(7);
/// Duration of each call.
const CALL_DURATION: Duration = Duration::from_millis(20);

fn main() {
    let mut args = std::env::args().skip(1);
    let [vms, per_s, seconds] = DEFAULTS.map(|default| {
        let arg = args.next();
        arg.map_or(default, |arg| arg.parse().expect("arguments are integers"))
    });
    let (started, address) = channel();
    let (finish, finished) = channel();
    let leader = thread::spawn(move || run_leader(&started, &finished));
    let address = address.recv().expect("the leader listens");
    thread::spawn(move || run_followers(address, vms, per_s, seconds))
        .join()
        .expect("the followers finish");
    finish.send(()).expect("the leader is running");
    let spent = leader.join().expect("the leader finishes");
    println!(
        "{vms} VMs, {per_s} requests per second: {:.1} us CPU time per request, {:.4} cores",
        spent.as_secs_f64() * 1e6 / (per_s * seconds) as f64,
        spent.as_secs_f64() / seconds as f64,
    );
}

fn run_leader(
    started: &Sender<SocketAddr>,
    finished: &Receiver<()>,
) -> Duration {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let scheduling = vm("leader", address);
        scheduling.local_scheduler.set_config(&config());
        scheduling.local_scheduler.set_upstream(&server());
        scheduling.become_leader(FENCE, RateShare::Fresh);
        let feed = Rc::new(Feed::new(Millis(2_000)));
        let nowhere: SocketAddr = "127.0.0.1:9".parse().expect("an address");
        let store = KvStore::new(nowhere, Millis(500));
        let server = SchedulerServer::new(
            Rc::clone(&scheduling),
            Rc::clone(&feed),
            store.clone(),
            Rc::new(OriginDirectory::new("vm", store, feed)),
        );
        let client: scheduler::Client = capnp_rpc::new_client(server);
        spawn_local(serve(listener, client.client));
        started.send(address).expect("main waits for the address");
        while finished.try_recv().is_err() {
            sleep(Duration::from_millis(50)).await;
        }
        let spent = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("the clock exists");
        Duration::from(spent)
    })
}

fn run_followers(
    leader: SocketAddr,
    vms: u64,
    per_s: u64,
    seconds: u64,
) {
    actix_rt::System::new().block_on(async {
        let names: BTreeMap<String, SocketAddr> = (0..vms)
            .map(|number| (format!("vm-{number}"), leader))
            .collect();
        let vms: Vec<Rc<SchedulerNode>> = names.keys().map(|name| vm(name, leader)).collect();
        for vm in &vms {
            vm.set_vms(names.clone());
            vm.observe_leader(Leader {
                vm: "leader".to_owned(),
                address: leader,
                fence: FENCE,
                is_leaving: false,
            });
        }
        while !vms.iter().all(|vm| vm.is_following()) {
            sleep(Duration::from_millis(20)).await;
        }
        let mut ticks = interval(Duration::from_micros(1_000_000 / per_s));
        for number in 0..per_s * seconds {
            ticks.tick().await;
            let vm = Rc::clone(&vms[(number % vms.len() as u64) as usize]);
            spawn_local(async move {
                if let Ok(placement) = vm.place(job()).await {
                    sleep(CALL_DURATION).await;
                    let took = Millis(CALL_DURATION.as_millis() as u64);
                    placement.end(Outcome::Answered { took }, AttemptEvidence::NONE);
                }
            });
        }
        sleep(Duration::from_millis(200)).await;
    });
}

fn vm(
    name: &str,
    address: SocketAddr,
) -> Rc<SchedulerNode> {
    let (tasks, _engines) = mpsc::unbounded_channel();
    let local_scheduler = Rc::new(LocalScheduler::new(
        SchedulerSettings::default(),
        ColdUpstreamSettings::default(),
        tasks,
    ));
    let scheduling = Rc::new(SchedulerNode::new(
        local_scheduler,
        name.to_owned(),
        address,
        1,
    ));
    scheduling.start();
    scheduling
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

fn job() -> JobSpec {
    JobSpec {
        number: 0,
        account: None,
        caller: 1,
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
