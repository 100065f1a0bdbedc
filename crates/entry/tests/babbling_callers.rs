//! Callers whose requests together exceed the memory of a VM.

mod deployment;

use {
    deployment::{Request, Vm, call_through, config},
    jasmine_platform_stand_in::{Behaviour, KvStandIn, UpstreamStandIn},
    serde_json::json,
    std::thread,
};

/// The largest body that the configuration allows.
const BODY_BYTES: usize = 4 << 20;
/// Requests at once, whose bodies have 48 MiB.
const REQUESTS: usize = 12;

#[test]
fn bodies_of_all_callers_are_bounded() {
    // Guards against requests that are within the limits each and take the memory of the daemon together.
    let store = KvStandIn::start().unwrap();
    let mut limited = config(1);
    limited["limits"]["max_body_bytes"] = json!(BODY_BYTES);
    store.put("op/config", &limited);
    let upstream = UpstreamStandIn::start("s-1").unwrap();
    store.put(&upstream.key(), &upstream.entry("app", "one", "ready"));
    let vm = Vm::start(&store);
    upstream.set_default(Behaviour::Hang);
    let body = vec![b'a'; BODY_BYTES];
    let statuses = thread::scope(|scope| {
        let send = || {
            let request = Request::new("POST", "/write/").with("X-Deadline-Ms", "3000");
            vm.send_request(&request.body(&body)).status
        };
        let callers: Vec<_> = (0..REQUESTS).map(|_| scope.spawn(send)).collect();
        let statuses = callers.into_iter().map(|caller| caller.join().unwrap());
        statuses.collect::<Vec<_>>()
    });
    let refused = statuses.iter().filter(|status| **status == 429).count();
    assert!(refused >= REQUESTS / 2, "{statuses:?}");
    assert!(refused < REQUESTS, "{statuses:?}");
    // Once they have ended, there is room again.
    upstream.set_default(Behaviour::Answer(b"ok".to_vec()));
    let request = Request::new("POST", "/write/").body(&body);
    assert_eq!(vm.send_request(&request).status, 200);
    assert_eq!(vm.send_request(&call_through(&vm)).status, 200);
}
