//! Tracing a failed request from its id to its cause in the logs of real processes.

mod deployment;

use {
    deployment::{Request, Vm, start_platform, wait_until},
    jasmine_ctl::trace::{RequestTrace, trace},
    jasmine_platform_stand_in::Behaviour,
    std::fs,
};

/// Traces a request in the log of one VM, once its end is logged.
fn trace_request(
    vm: &Vm,
    request: &Request,
) -> RequestTrace {
    let path = std::env::temp_dir().join(format!("{}.log", vm.name));
    let mut request_trace = None;
    wait_until("the end of the request is logged", || {
        fs::write(&path, vm.log()).unwrap();
        let traced = trace(request.id(), std::slice::from_ref(&path)).unwrap();
        let has_end = traced.end_event().is_some();
        request_trace = Some(traced);
        has_end
    });
    fs::remove_file(&path).unwrap();
    request_trace.unwrap()
}

#[test]
fn a_rate_limit_refusal_names_the_account() {
    // Guards against a trace of a rate-limited request that doesn't name the account, or blames an upstream.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let mut refused = None;
    for _ in 0..30 {
        let request = Request::new("GET", "/read/").with("X-Api-Key", "key-of-small");
        if vm.send_request(&request).status == 429 {
            refused = Some(request);
            break;
        }
    }
    let traced = trace_request(&vm, &refused.expect("the burst ends"));
    let cause = traced.cause();
    assert!(cause.contains("Account small was over its rate"), "{cause}");
    assert!(cause.contains("10 tokens"), "{cause}");
    assert!(!cause.contains("s-1"), "{cause}");
}

#[test]
fn an_unknown_outcome_names_the_upstream() {
    // Guards against a trace of a request with unknown outcome that doesn't name its upstream.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Reset);
    let request = Request::new("POST", "/write/").body(b"enrol");
    assert_eq!(vm.send_request(&request).status, 502);
    let traced = trace_request(&vm, &request);
    let cause = traced.cause();
    assert!(
        cause.contains("Upstream s-1 had it and ended with Lost"),
        "{cause}"
    );
    let events: Vec<&str> = traced
        .request_lines
        .iter()
        .map(|line| line.event.as_str())
        .collect();
    assert_eq!(
        events,
        ["request_sent", "attempt_failed", "request_given_up"]
    );
}

#[test]
fn a_truncated_stream_names_the_upstream() {
    // Guards against a trace of a truncated stream without its upstream and the number of events forwarded.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::CutAfter(3));
    let request = Request::new("POST", "/once/").body(b"prompt");
    assert!(!vm.send_request(&request).is_complete);
    let traced = trace_request(&vm, &request);
    assert!(
        traced
            .cause()
            .contains("Upstream s-1 stopped in the middle (Lost); the caller has 3 events"),
        "{}",
        traced.cause()
    );
    assert_eq!(traced.end_event().unwrap().get("events"), Some("3"));
}

#[test]
fn a_refusal_without_a_configuration_says_so() {
    // Guards against a trace that blames upstreams for refusals by a VM without a configuration.
    let (store, _upstreams) = start_platform(&["s-1"]);
    store.set_outage(jasmine_platform_stand_in::Outage::Silent);
    let vm = Vm::start_unready(&store);
    let request = Request::new("GET", "/read/");
    assert_eq!(vm.send_request(&request).status, 503);
    let traced = trace_request(&vm, &request);
    assert_eq!(traced.cause(), "This VM had no configuration yet.");
}

#[test]
fn the_log_contains_no_keys_or_bodies() {
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    for _ in 0..3 {
        vm.send_request(&Request::new("POST", "/write/").body(b"a secret prompt"));
        vm.send_request(&Request::new("GET", "/read/").with("X-Api-Key", "key-of-nobody"));
    }
    wait_until("the requests are logged", || {
        vm.log().matches("request_ended").count() >= 3
    });
    let log = vm.log();
    for secret in [deployment::API_KEY, "key-of-nobody", "a secret prompt"] {
        assert!(!log.contains(secret), "{secret}");
    }
}
