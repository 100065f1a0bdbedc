//! Log lines of refusals: what a request was judged by.

mod deployment;

use deployment::{Request, Vm, config, start_platform, wait_until};

/// The key of nobody, which must not get into the log.
const WRONG_KEY: &str = "key-of-nobody";

/// The refusal of a request in the log.
fn refusal_of(
    vm: &Vm,
    request: &Request,
) -> String {
    let id = format!(" id={} ", request.id());
    let find = || {
        let lines = vm.log_lines("request_refused");
        lines.into_iter().find(|line| line.contains(&id))
    };
    // Log lines are written with a delay.
    wait_until("it is logged", || find().is_some());
    find().unwrap()
}

#[test]
fn refusals_name_their_rule() {
    // Guards against final refusals whose request can't be found in the log.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let read = || Request::new("GET", "/read/");
    let long = "a".repeat(5_000);
    for (request, status, rule) in [
        (
            read().with("X-Api-Key", WRONG_KEY),
            401,
            "rule=key key_hash=",
        ),
        (read().without("X-Api-Key"), 401, "rule=key "),
        (
            Request::new("GET", "/nowhere/?secret"),
            404,
            "rule=route target=app.example/nowhere/ ",
        ),
        (
            read().with("X-Long", &long),
            431,
            "rule=max_header_bytes bytes=",
        ),
        (
            Request::new("POST", "/write/").body(&vec![b'a'; 70_000]),
            413,
            "rule=max_body_bytes bytes=70000 max=65536 ",
        ),
        (read().with("Content-Length", "x"), 400, "rule=format "),
    ] {
        assert_eq!(vm.send_request(&request).status, status);
        let line = refusal_of(&vm, &request);
        assert!(line.contains(rule), "{line}");
    }
    assert!(!vm.log().contains(WRONG_KEY));
}

#[test]
fn refusals_name_their_configuration() {
    // Guards against final refusals of which nobody can tell what they were judged by.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let refuse = || {
        let request = Request::new("GET", "/nowhere/");
        assert_eq!(vm.send_request(&request).status, 404);
        refusal_of(&vm, &request)
    };
    let line = refuse();
    assert!(
        line.contains(" config=1 ") && line.contains(" config_source=store_read "),
        "{line}"
    );
    store.put("op/config", &config(2));
    wait_until("it is taken", || vm.log_lines("config_taken").len() == 2);
    let line = refuse();
    assert!(
        line.contains(" config=2 ") && line.contains(" config_source=store_watch "),
        "{line}"
    );
    for field in ["config_revision", "config_age_ms", "view_age_ms"] {
        let (_, rest) = line.split_once(&format!(" {field}=")).unwrap();
        let value = rest.split(' ').next().unwrap();
        assert!(value.parse::<u64>().is_ok(), "{field}: {line}");
    }
    let taken = vm.log_lines("config_taken");
    assert!(
        taken[1].contains(" source=store_watch revision="),
        "{taken:?}"
    );
}

#[test]
fn broken_ids_are_not_returned() {
    // Guards against an id with a line break that adds a header to the answer.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let request = Request::new("GET", "/read/").with("X-Request-Id", "a\rX-Added: b");
    let response = vm.send_request(&request);
    assert_eq!(response.status, 400);
    assert!(!response.head.contains("X-Added"), "{}", response.head);
}
