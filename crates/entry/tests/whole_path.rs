//! Forwarding of requests from callers to upstreams and of the responses back.

mod deployment;

use {
    deployment::{API_KEY, Request, Vm, count_runs, start_platform, wait_until},
    jasmine_platform_stand_in::Behaviour,
    std::{io::Write, net::TcpStream},
};

#[test]
fn each_route_kind_is_served() {
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Answer(b"status".to_vec()));
    let read = vm.send_request(&Request::new("GET", "/read/a?b=c"));
    assert_eq!((read.status, read.text().as_str()), (200, "status"));
    assert_eq!(read.header("x-server-seal").as_deref(), Some("seal"));
    let write = Request::new("POST", "/write/x").body(b"enrol");
    assert_eq!(vm.send_request(&write).status, 200);
    assert_eq!(count_runs(&upstreams, write.id()), 1);
    upstreams[0].next(Behaviour::Events(3));
    let stream = vm.send_request(&Request::new("POST", "/stream/x").body(b"prompt"));
    assert!(stream.is_complete);
    assert_eq!(
        stream.text(),
        "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\nid: 3\ndata: piece-3\n\n"
    );
    let ran = upstreams[0].executed();
    assert_eq!(ran[0].target, "/read/a?b=c");
    assert_eq!(ran[1].body, b"enrol");
}

#[test]
fn callers_cannot_set_platform_headers() {
    // Guards against forwarding callers' API keys, or platform headers with which a caller could act as another account.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let request = Request::new("GET", "/read/a")
        .with("X-Tenant", "another")
        .with("X-Expect-Instance", "another")
        .with("X-Hold", "1")
        .with("X-Pin-Ms", "1000")
        .with("X-Kv-Backup", "1.2.3.4:5")
        .with("Kv-From", "1.2.3.4:5/6")
        .with("X-Own", "kept")
        .with("Connection", "x-request-id, x-dropped")
        .with("X-Dropped", "1");
    assert_eq!(vm.send_request(&request).status, 200);
    let seen = upstreams[0].executed().remove(0).headers;
    let got = |name: &str| seen.get(name).map(String::as_str);
    assert_eq!(got("x-tenant"), Some("one"));
    assert_eq!(got("x-expect-instance"), Some("s-1"));
    assert_eq!(got("x-own"), Some("kept"));
    assert_eq!(got("x-request-id"), Some(request.id()));
    for dropped in [
        "x-api-key",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "x-dropped",
    ] {
        assert_eq!(got(dropped), None, "{dropped}");
    }
    assert!(!format!("{seen:?}").contains(API_KEY));
    let patience: u64 = got("x-deadline-ms").unwrap().parse().unwrap();
    assert!((4_000..=5_000).contains(&patience), "{patience}");
}

#[test]
fn keys_and_routes_are_checked() {
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let status = |request: Request| vm.send_request(&request).status;
    assert_eq!(status(Request::new("GET", "/nowhere/")), 404);
    assert_eq!(status(Request::new("GET", "/read")), 404);
    assert_eq!(
        status(Request::new("GET", "/read/").with("Host", "other.example")),
        404
    );
    assert_eq!(
        status(Request::new("GET", "/read/").with("X-Api-Key", "nobody")),
        401
    );
    assert_eq!(
        status(Request::new("GET", "/read/").without("X-Api-Key")),
        401
    );
    assert_eq!(upstreams[0].executed(), [], "none of these ran");
    assert_eq!(
        status(Request::new("GET", "/open/").without("X-Api-Key")),
        200
    );
    assert_eq!(upstreams[0].executed()[0].headers.get("x-tenant"), None);
}

#[test]
fn a_rate_limited_account_gets_a_retry_delay() {
    // Guards against a `Retry-After` that is missing or shorter than the account needs to earn its tokens.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let request = || Request::new("GET", "/read/").with("X-Api-Key", "key-of-small");
    let mut refused = None;
    for _ in 0..30 {
        let response = vm.send_request(&request());
        if response.status == 429 {
            refused = Some(response);
            break;
        }
    }
    let refused = refused.expect("the burst ends");
    let delay: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(delay > 0.0 && delay < 1.0, "{delay}");
    let ran = upstreams[0].executed().len();
    std::thread::sleep(std::time::Duration::from_secs_f64(delay + 0.02));
    assert_eq!(
        vm.send_request(&request()).status,
        200,
        "served after the retry delay"
    );
    assert_eq!(upstreams[0].executed().len(), ran + 1);
}

#[test]
fn connections_are_reused() {
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let mut stream = TcpStream::connect(vm.callers).unwrap();
    for _ in 0..5 {
        stream
            .write_all(&Request::new("GET", "/read/").bytes())
            .unwrap();
        let response = deployment::read_response(&mut stream).unwrap();
        assert_eq!(response.status, 200);
        assert_eq!(response.header("connection"), None);
    }
    assert!(
        upstreams[0].connections() <= 2,
        "upstream connections are reused too"
    );
}

#[test]
fn a_chunked_body_is_forwarded() {
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let mut bytes = Request::new("POST", "/write/")
        .with("Transfer-Encoding", "chunked")
        .bytes();
    bytes.extend_from_slice(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
    assert_eq!(vm.send_raw(&bytes).unwrap().status, 200);
    assert_eq!(upstreams[0].executed()[0].body, b"abcde");
}

#[test]
fn a_configuration_change_is_applied() {
    // Guards against VMs that keep an old configuration, or replace it by an even older one.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let mut next = deployment::config(5);
    next["routes"][0]["path_prefix"] = serde_json::json!("/moved/");
    store.put("op/config", &next);
    wait_until("the new route is served", || {
        vm.send_request(&Request::new("GET", "/moved/")).status == 200
    });
    assert_eq!(vm.send_request(&Request::new("GET", "/read/")).status, 404);
    store.put("op/config", &deployment::config(4));
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    assert_eq!(
        vm.send_request(&Request::new("GET", "/moved/")).status,
        200,
        "an older configuration is not applied"
    );
}
