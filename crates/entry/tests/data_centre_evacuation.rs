//! Evacuations of data centres through the store, and routes with allowed regions, with real daemons.

mod deployment;

use {
    deployment::{Request, Vm, config, start_platform, wait_until},
    jasmine_platform_stand_in::{KvStandIn, Outage, UpstreamStandIn},
    nix::sys::signal::Signal,
    serde_json::{Value, json},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Bound on the time from an evacuation in the store until it is in force, in the daemons' settings.
const EVACUATION_MS: u64 = 3_000;
const EVACUATION: Duration = Duration::from_millis(EVACUATION_MS);

fn start_vm(
    store: &KvStandIn,
    name: &str,
) -> Vm {
    let name = format!("{name}-{}", std::process::id());
    let vm = Vm::start_with_settings(store.address(), &name, |settings| {
        settings["evacuation_ms"] = json!(EVACUATION_MS);
        settings["regions"] = json!({"one": "near", "two": "far"});
    });
    wait_until("the daemon is ready", || vm.is_ready());
    vm
}

/// Starts a store and the upstreams `s-1` in data centre `one` and `s-2` in `two`.
fn start_two_data_centres() -> (KvStandIn, UpstreamStandIn, UpstreamStandIn) {
    let (store, mut upstreams) = start_platform(&["s-1"]);
    let far = UpstreamStandIn::start("s-2").unwrap();
    store.put(&far.key(), &far.entry("app", "two", "ready"));
    (store, upstreams.remove(0), far)
}

fn read(vm: &Vm) -> u16 {
    vm.send_request(&Request::new("GET", "/read/")).status
}

fn evacuate(
    store: &KvStandIn,
    data_centre: &str,
) {
    store.put(&format!("op/evacuate/{data_centre}"), &json!({}));
}

/// Sends requests for a while; returns how many of them `upstream` ran.
fn runs_while(
    vm: &Vm,
    upstream: &UpstreamStandIn,
    time: Duration,
) -> usize {
    let before = upstream.executed().len();
    let began = Instant::now();
    while began.elapsed() < time {
        assert_eq!(read(vm), 200);
    }
    upstream.executed().len() - before
}

#[test]
fn an_evacuation_holds_until_it_is_taken_back() {
    // Guards against requests to upstreams that an operator is about to take away, and against an
    // evacuation that outlasts its end.
    let (store, near, far) = start_two_data_centres();
    let vm = start_vm(&store, "evacuation");
    assert_ne!(runs_while(&vm, &near, Duration::from_millis(300)), 0);
    evacuate(&store, "one");
    runs_while(&vm, &near, EVACUATION);
    assert_eq!(runs_while(&vm, &near, Duration::from_millis(500)), 0);
    evacuate(&store, "two");
    thread::sleep(EVACUATION);
    let refused = vm.send_request(&Request::new("GET", "/read/"));
    assert_eq!(refused.status, 503);
    assert!(refused.text().contains("evacuated"), "{}", refused.text());
    let ran = far.executed().len();
    store.remove("op/evacuate/one");
    wait_until("requests return", || read(&vm) == 200);
    assert_eq!(far.executed().len(), ran);
}

#[test]
fn an_evacuation_survives_a_restart_and_lost_history() {
    // Guards against a VM that forgets an evacuation, or never hears of its end, because it has read
    // the store anew in between.
    let (store, near, far) = start_two_data_centres();
    let vm = start_vm(&store, "evacuation-before");
    evacuate(&store, "one");
    wait_until("it is known", || {
        !vm.log_lines("evacuation_begun").is_empty()
    });
    vm.signal(Signal::SIGKILL);
    let vm = start_vm(&store, "evacuation-after");
    let ran = near.executed().len();
    runs_while(&vm, &far, Duration::from_millis(500));
    assert_eq!(near.executed().len(), ran);

    store.set_outage(Outage::Unavailable);
    thread::sleep(Duration::from_millis(100));
    store.remove("op/evacuate/one");
    evacuate(&store, "two");
    store.compact_history();
    store.set_outage(Outage::None);
    wait_until("the end is known", || {
        !vm.log_lines("evacuation_ended").is_empty()
    });
    assert_eq!(runs_while(&vm, &far, Duration::from_millis(500)), 0);
}

#[test]
fn followers_refuse_assignments_to_evacuated_upstreams() {
    // Guards against a scheduler that is suspended or cut off and doesn't know of an evacuation that
    // the VMs which ask it know.
    let (store, near, far) = start_two_data_centres();
    let vms = [start_vm(&store, "eva-a"), start_vm(&store, "eva-b")];
    wait_until("one follows the other", || {
        vms.iter()
            .any(|vm| !vm.log_lines("leader_followed").is_empty())
    });
    evacuate(&store, "one");
    for vm in &vms {
        wait_until("it is known", || {
            !vm.log_lines("evacuation_begun").is_empty()
        });
    }
    thread::sleep(EVACUATION);
    for vm in &vms {
        assert_eq!(runs_while(vm, &near, Duration::from_millis(300)), 0);
    }
    assert!(!far.executed().is_empty());
}

#[test]
fn unusable_evacuations_change_nothing() {
    // Guards against an evacuation without a data centre, or of one that doesn't exist, which would
    // stop others.
    let (store, near, _far) = start_two_data_centres();
    let vm = start_vm(&store, "evacuation-unusable");
    store.put("op/evacuate/", &json!({}));
    store.put("op/evacuate/elsewhere", &json!({}));
    wait_until("it is logged", || {
        let lines = vm.log_lines("evacuation_begun");
        let is_unknown = lines.iter().any(|line| line.contains("known=false"));
        is_unknown && !vm.log_lines("entry_unreadable").is_empty()
    });
    assert_ne!(runs_while(&vm, &near, Duration::from_millis(300)), 0);
}

#[test]
fn a_route_stays_in_its_regions() {
    // Guards against a request that is run outside of the regions that its route allows.
    let (store, near, far) = start_two_data_centres();
    let set_regions = |version: u64, regions: Value| {
        let mut next = config(version);
        next["routes"][0]["allowed_regions"] = regions;
        store.put("op/config", &next);
    };
    set_regions(2, json!(["far"]));
    let vm = start_vm(&store, "regions");
    let ran = far.executed().len();
    assert_eq!(runs_while(&vm, &near, Duration::from_millis(300)), 0);
    assert!(far.executed().len() > ran);
    set_regions(3, json!(["nowhere"]));
    wait_until("it is refused", || read(&vm) == 503);
    let refused = vm.send_request(&Request::new("GET", "/read/"));
    assert!(
        refused.text().contains("region_unavailable"),
        "{}",
        refused.text()
    );
}
