//! Leader changes where engines don't check fencing tokens: a new leader must wait before it orders an engine.

mod deployment;

use {
    deployment::{Request, Vm, start_platform, wait_until},
    jasmine_platform_stand_in::{EngineStandIn, KvStandIn},
    jasmine_testkit::proxy::{Fault, Proxy},
    nix::sys::signal::Signal,
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Minimum time between orders from different VMs to the same engine.
const ORDER_GAP: Duration = Duration::from_secs(3);

fn start(
    store: SocketAddr,
    name: &str,
) -> Vm {
    start_as(store, name, true)
}

fn start_as(
    store: SocketAddr,
    name: &str,
    is_first: bool,
) -> Vm {
    let name = format!("{name}-{}", std::process::id());
    let vm = Vm::start_with_settings(store, &name, |settings| {
        settings["engines_check_fences"] = false.into();
        settings["first_start"] = is_first.into();
        settings["order_gap_ms"] = (ORDER_GAP.as_millis() as u64).into();
    });
    wait_until("it is ready", || vm.is_ready());
    vm
}

fn engines(store: &KvStandIn) -> Vec<EngineStandIn> {
    ["e-1", "e-2", "e-3", "e-4"]
        .iter()
        .map(|id| {
            let engine = EngineStandIn::start(id).unwrap();
            store.put(&engine.key(), &engine.entry("llm", "one"));
            engine
        })
        .collect()
}

fn generation(adapter: &str) -> Request {
    Request::new("POST", "/model/")
        .with("X-Model", &format!("base/{adapter}"))
        .with("X-Token-Counts", "100,10")
        .body(b"prompt")
}

fn leads(vm: &Vm) -> bool {
    !vm.log_lines("lead_taken").is_empty()
}

#[test]
fn a_leader_cut_off_from_the_store_keeps_leading() {
    // Guards against a leader change, and delayed adapter loads, when only the leader loses the store: another VM renews
    // its lease for it.
    let (store, _) = start_platform(&[]);
    let _engines = engines(&store);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = Proxy::start(any, store.address()).unwrap();
    let leader = start(link.address(), "cut-leader");
    wait_until("it leads", || leads(&leader));
    let others = [
        start(store.address(), "cut-other-1"),
        start(store.address(), "cut-other-2"),
    ];
    for other in &others {
        wait_until("it follows", || {
            !other.log_lines("leader_followed").is_empty()
        });
    }
    assert_eq!(others[0].send_request(&generation("a1")).status, 200);
    thread::sleep(Duration::from_millis(800));
    link.set_mode(Fault::Cut);
    let began = Instant::now();
    let mut adapter = 2;
    while began.elapsed() < ORDER_GAP + Duration::from_secs(1) {
        let asked = Instant::now();
        let response = others[1].send_request(&generation(&format!("a{adapter}")));
        assert_eq!(
            response.status,
            200,
            "a{adapter}: {}\n{}",
            response.text(),
            leader.log()
        );
        let took = asked.elapsed();
        assert!(
            took < Duration::from_millis(1_500),
            "a{adapter} after {took:?}"
        );
        adapter = adapter % 9 + 1;
        thread::sleep(Duration::from_millis(150));
    }
    assert!(
        others.iter().all(|other| !leads(other)),
        "no other VM leads"
    );
}

#[test]
fn a_planned_stop_leaves_engines_to_order() {
    // Guards against a planned restart of the leader delaying all adapter loads by the order gap: half of the engines get
    // no more orders before the handover.
    let (store, _) = start_platform(&[]);
    let engines = engines(&store);
    let leader = start(store.address(), "stop-leader");
    wait_until("it leads", || leads(&leader));
    let next = start(store.address(), "stop-next");
    wait_until("it follows", || {
        !next.log_lines("leader_followed").is_empty()
    });
    for adapter in ["a1", "a2", "a3", "a4"] {
        assert_eq!(next.send_request(&generation(adapter)).status, 200);
    }
    leader.signal(Signal::SIGTERM);
    let began = Instant::now();
    let mut slowest = Duration::ZERO;
    let mut adapter = 5;
    while !leads(&next) || began.elapsed() < Duration::from_millis(4_500) {
        assert!(began.elapsed() < deployment::TIMEOUT, "the other VM leads");
        let asked = Instant::now();
        let response = next.send_request(&generation(&format!("a{adapter}")));
        assert_eq!(response.status, 200, "a{adapter}: {}", response.text());
        slowest = slowest.max(asked.elapsed());
        adapter = adapter % 9 + 1;
        thread::sleep(Duration::from_millis(100));
    }
    println!("slowest {slowest:?}");
    assert!(slowest < Duration::from_millis(1_500), "{slowest:?}");
    for engine in &engines {
        assert_eq!(short_order_gaps(engine), Vec::<Duration>::new());
        assert_eq!(engine.over_capacity_orders(), 0);
    }
}

#[test]
fn after_a_power_loss_the_last_leader_leads() {
    // Guards against another VM taking over after all VMs restart: it would have to wait for the order gap before loads.
    let (store, _) = start_platform(&[]);
    let engines = engines(&store);
    let names = ["power-1", "power-2", "power-3"];
    let mut vms = Vec::new();
    for name in names {
        let vm = start(store.address(), name);
        wait_until("a leader is known", || {
            leads(&vm) || !vm.log_lines("leader_followed").is_empty()
        });
        vms.push(vm);
    }
    let first = vms.iter().position(leads).expect("one leads");
    for adapter in ["a1", "a2", "a3"] {
        assert_eq!(vms[0].send_request(&generation(adapter)).status, 200);
    }
    drop(vms);
    thread::sleep(Duration::from_millis(1_500));
    let restarted: Vec<Vm> = thread::scope(|scope| {
        let starting: Vec<_> = names
            .iter()
            .map(|name| scope.spawn(|| start_as(store.address(), name, false)))
            .collect();
        let started = starting.into_iter().map(|vm| vm.join().unwrap());
        started.collect()
    });
    wait_until("one leads", || restarted.iter().any(leads));
    assert!(leads(&restarted[first]), "the previous leader leads again");
    let asked = Instant::now();
    assert_eq!(restarted[0].send_request(&generation("a9")).status, 200);
    let took = asked.elapsed();
    assert!(took < Duration::from_millis(1_500), "{took:?}");
    for engine in &engines {
        assert_eq!(short_order_gaps(engine), Vec::<Duration>::new());
    }
}

/// Times between orders from different VMs that are shorter than the order gap.
fn short_order_gaps(engine: &EngineStandIn) -> Vec<Duration> {
    let orders = engine.received();
    orders
        .windows(2)
        .filter(|pair| pair[0].holder != pair[1].holder)
        .map(|pair| pair[1].at.duration_since(pair[0].at))
        .filter(|&gap| gap < ORDER_GAP)
        .collect()
}
