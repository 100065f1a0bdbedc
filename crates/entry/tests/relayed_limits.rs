//! Limits of callers' requests at a VM that sends them on for another one.

mod deployment;

use {
    deployment::{Request, Vm, config, source_address, wait_until},
    jasmine_platform_stand_in::{KvStandIn, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault, Proxy},
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time after the begin of a cut from which another VM sends requests on.
const CONTACT: Duration = Duration::from_secs(3);
/// Time without changes after which a view is older than a change may take.
const AGEING_TIME: Duration = Duration::from_millis(2_500);

#[test]
fn a_relay_does_not_apply_its_own_limits() {
    // Guards against refusing by an older configuration what the VM of the caller has checked by a newer one.
    let store = KvStandIn::start().unwrap();
    store.put("op/config", &config(1));
    let upstream = UpstreamStandIn::start("s-1").unwrap();
    let mut entry = upstream.entry("app", "one", "ready");
    let target = entry["address"].as_str().unwrap().parse().unwrap();
    let link = Proxy::start("127.0.0.1:0".parse().unwrap(), target).unwrap();
    entry["address"] = json!(link.address().to_string());
    store.put(&upstream.key(), &entry);
    let start = |number: usize| {
        let name = format!("relayed-limits-{number}-{}", std::process::id());
        let vm = Vm::start_with_settings(store.address(), &name, |settings| {
            settings["upstream_source"] = json!(source_address(number));
        });
        wait_until("the daemon is ready", || vm.is_ready());
        vm
    };
    let relay = start(0);
    wait_until("it leads", || !relay.log_lines("lead_taken").is_empty());
    let vm = start(1);
    wait_until("it follows", || !vm.log_lines("leader_followed").is_empty());
    link.set_mode_for(source_address(1), Some(Fault::Cut));
    let until = Instant::now() + CONTACT;
    while Instant::now() < until {
        vm.send_request(&Request::new("GET", "/read/").with("X-Deadline-Ms", "1000"));
    }
    store.set_silent_watch(Some(""));
    thread::sleep(AGEING_TIME);
    let mut next = config(2);
    next["limits"]["max_header_bytes"] = json!(65_536);
    next["limits"]["max_body_bytes"] = json!(262_144);
    store.put("op/config", &next);
    let long_head = Request::new("GET", "/read/").with("X-Long", &"a".repeat(20_000));
    let long_body = Request::new("POST", "/write/").body(&vec![b'a'; 100_000]);
    for (case, request) in [("head", long_head), ("body", long_body)] {
        let response = vm.send_request(&request);
        assert_eq!(response.status, 200, "{case}: {}", response.text());
    }
    assert!(
        relay.log_lines("config_taken").len() == 1,
        "its view is old"
    );
    // Log lines are written with a delay.
    wait_until("it is logged", || {
        vm.log_lines("request_relayed")
            .iter()
            .any(|line| line.contains("end=sent"))
    });
}
