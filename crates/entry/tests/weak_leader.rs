//! A leader with little processor hands over to a stronger VM.

mod deployment;

use {
    deployment::{Request, Vm, start_platform, wait_until},
    jasmine_platform_stand_in::KvStandIn,
    serde_json::json,
    std::{thread, time::Duration},
};

fn start_vm(
    store: &KvStandIn,
    name: &str,
    processor: f64,
) -> Vm {
    let name = format!("{name}-{}", std::process::id());
    let vm = Vm::start_with_settings(store.address(), &name, |settings| {
        settings["size"] = json!({"processor": processor, "network_mbps": 100.0});
    });
    wait_until("the daemon is ready", || vm.is_ready());
    vm
}

#[test]
fn a_stronger_vm_takes_over_without_failed_requests() {
    // Guards against a weak VM that was elected while the stronger ones were not registered and
    // leads for good, too slowly for all.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let weak = start_vm(&store, "weak", 0.1);
    wait_until("it leads", || !weak.log_lines("lead_taken").is_empty());
    let strong = start_vm(&store, "strong", 0.5);
    while strong.log_lines("lead_taken").is_empty() {
        for vm in [&weak, &strong] {
            let status = vm.send_request(&Request::new("GET", "/read/")).status;
            assert_eq!(status, 200, "{}", vm.name);
        }
        thread::sleep(Duration::from_millis(10));
    }
    wait_until("the weak VM follows", || {
        !weak.log_lines("leader_followed").is_empty()
    });
    assert_eq!(weak.log_lines("lead_handed_over").len(), 1);
    thread::sleep(Duration::from_secs(3));
    assert_eq!(strong.log_lines("lead_handed_over").len(), 0);
    assert_eq!(weak.log_lines("lead_taken").len(), 1);
}
