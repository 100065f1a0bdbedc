//! Retries of idempotent and non-idempotent requests, and the outcome that callers are told.

mod deployment;

use {
    deployment::{Request, Vm, count_runs, start_platform},
    jasmine_platform_stand_in::{Behaviour, UpstreamStandIn},
};

fn set_all(
    upstreams: &[UpstreamStandIn],
    behaviour: &Behaviour,
) {
    for upstream in upstreams {
        upstream.set_default(behaviour.clone());
    }
}

#[test]
fn a_write_without_a_response_is_not_retried() {
    // Guards against a non-idempotent request that runs twice, or is reported as not run, after its response is lost.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for behaviour in [Behaviour::Reset, Behaviour::Truncate, Behaviour::Unsealed] {
        set_all(&upstreams, &behaviour);
        let request = Request::new("POST", "/write/").body(b"enrol");
        let response = vm.send_request(&request);
        assert_eq!(response.status, 502, "{behaviour:?}");
        assert_eq!(response.header("retry-after"), None, "{behaviour:?}");
        assert_eq!(count_runs(&upstreams, request.id()), 1, "{behaviour:?}");
    }
}

#[test]
fn an_upstream_error_is_forwarded_unchanged() {
    // Guards against an upstream's own error response being retried, or replaced by one of the daemon.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    set_all(&upstreams, &Behaviour::Fail);
    let request = Request::new("POST", "/write/").body(b"enrol");
    let response = vm.send_request(&request);
    assert_eq!((response.status, response.text().as_str()), (500, "failed"));
    assert_eq!(response.header("x-server-seal").as_deref(), Some("seal"));
    assert_eq!(count_runs(&upstreams, request.id()), 1);
}

#[test]
fn a_refused_attempt_does_not_count_as_a_run() {
    // Guards against a request that is counted as run after an upstream refused it, or that runs twice.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for behaviour in [Behaviour::Shed, Behaviour::Misdirected] {
        upstreams[0].next(behaviour.clone());
        upstreams[1].next(behaviour.clone());
        let request = Request::new("POST", "/write/").body(b"enrol");
        let response = vm.send_request(&request);
        assert!(
            matches!(response.status, 200 | 503),
            "{behaviour:?}: {response:?}"
        );
        let expected = usize::from(response.status == 200);
        assert_eq!(
            count_runs(&upstreams, request.id()),
            expected,
            "{behaviour:?}"
        );
    }
}

#[test]
fn a_refused_write_was_not_run_and_has_a_retry_delay() {
    // Guards against a late refusal, or one without a retry delay, when all upstreams shed load.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    set_all(&upstreams, &Behaviour::Shed);
    let request = Request::new("POST", "/write/").body(b"enrol");
    let began = std::time::Instant::now();
    let response = vm.send_request(&request);
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(began.elapsed().as_millis() < 1_000, "refused without delay");
    assert_eq!(count_runs(&upstreams, request.id()), 0);
}

#[test]
fn a_failed_read_is_retried_at_another_upstream() {
    // Guards against an idempotent request failing although another upstream can serve it.
    for behaviour in [
        Behaviour::Fail,
        Behaviour::Reset,
        Behaviour::Truncate,
        Behaviour::Hang,
        Behaviour::Unsealed,
    ] {
        let (store, upstreams) = start_platform(&["s-bad", "s-good"]);
        let vm = Vm::start(&store);
        upstreams[0].set_default(behaviour.clone());
        upstreams[1].set_default(Behaviour::Answer(b"good".to_vec()));
        let mut attempts = 0;
        while upstreams[0].executed().is_empty() {
            let request = Request::new("GET", "/read/");
            let response = vm.send_request(&request);
            assert_eq!(
                (response.status, response.text().as_str()),
                (200, "good"),
                "{behaviour:?}"
            );
            assert!(count_runs(&upstreams, request.id()) <= 2, "{behaviour:?}");
            attempts += 1;
            assert!(
                attempts < 50,
                "{behaviour:?}: the failing upstream is never tried"
            );
            upstreams[1].set_default(Behaviour::Slow(std::time::Duration::from_millis(60)));
            drop(vm.send_request(&Request::new("GET", "/read/")));
            upstreams[1].set_default(Behaviour::Answer(b"good".to_vec()));
        }
    }
}

#[test]
fn a_read_has_no_more_attempts_than_its_route_allows() {
    // Guards against more attempts than the route allows when every upstream fails.
    let (store, upstreams) = start_platform(&["s-1", "s-2", "s-3"]);
    let vm = Vm::start(&store);
    set_all(&upstreams, &Behaviour::Fail);
    let request = Request::new("GET", "/read/");
    assert_eq!(vm.send_request(&request).status, 500);
    assert_eq!(count_runs(&upstreams, request.id()), 2);
}
