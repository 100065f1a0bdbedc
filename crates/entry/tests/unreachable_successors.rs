//! Successors of silent upstreams that can't take over.

mod deployment;

use {
    deployment::{Request, Vm, start_platform, wait_until},
    jasmine_platform_stand_in::{Behaviour, UpstreamStandIn},
    serde_json::json,
    std::{net::TcpListener, thread, time::Duration},
};

const EVENTS: u64 = 8;

#[test]
fn a_silent_stream_is_not_given_up_for_an_upstream_that_refuses_connections() {
    // Guards against dropping a sound upstream for one that is listed but doesn't listen: nothing has taken over then.
    let (store, upstreams) = start_platform(&["s-1"]);
    let name = format!("successor-unreachable-{}", std::process::id());
    let vm = Vm::start_with_settings(store.address(), &name, |settings| {
        // One retry, of which the elected scheduler uses 65 percent.
        settings["repeats"] = json!({"ratio": 0.0, "slack": 1.6, "window_s": 10.0});
    });
    wait_until("the daemon is ready", || vm.is_ready());
    upstreams[0].set_default(Behaviour::Pauses(EVENTS, Duration::from_secs(2)));
    let bytes = Request::new("POST", "/stream/").body(b"prompt").bytes();
    let callers = vm.callers;
    let call = thread::spawn(move || deployment::exchange(callers, &bytes));
    wait_until("it runs", || !upstreams[0].executed().is_empty());
    let other = UpstreamStandIn::start("s-2").unwrap();
    let mut entry = other.entry("app", "one", "ready");
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    entry["address"] = json!(closed.local_addr().unwrap().to_string());
    drop(closed);
    store.put(&other.key(), &entry);
    let response = call.join().unwrap().expect("a response");
    let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
    let log = vm.log();
    assert!(
        response.is_complete && ids.iter().copied().eq(1..=EVENTS),
        "{ids:?}\n{log}"
    );
}
