//! Answers after which callers don't come back, at VMs whose configuration is old or missing.

mod deployment;

use {
    deployment::{Request, Response, Vm, config, exchange, start_platform, start_vms, wait_until},
    jasmine_platform_stand_in::{KvStandIn, Outage},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        thread,
        time::{Duration, Instant},
    },
};

/// The key of the configuration.
const CONFIG: &str = "op/config";
/// How long a change may take to reach a VM, the daemons' `change_ms`.
const CHANGE_TIME: Duration = Duration::from_secs(2);
/// Age of the oldest view by which a VM refuses for good.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);
/// Shortest time between two questions of a VM while the store refuses them.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// The API key that only the newer configuration has.
const NEW_KEY: &str = "key-of-new";

/// A configuration with a further route and account, and larger limits.
fn newer_config() -> Value {
    let mut next = config(2);
    let mut route = next["routes"][0].clone();
    route["name"] = json!("added");
    route["path_prefix"] = json!("/added/");
    next["routes"].as_array_mut().unwrap().push(route);
    let account = json!({"name": "new", "api_keys": [NEW_KEY], "unit": "token_metered",
        "plain_tokens": 10, "rate_per_s": 1_000, "burst": 1_000});
    next["tenants"].as_array_mut().unwrap().push(account);
    next["limits"]["max_header_bytes"] = json!(16_384);
    next["limits"]["max_body_bytes"] = json!(262_144);
    next
}

/// Cuts the VMs off from changes, while the store answers questions, until their view is old.
fn let_views_age(store: &KvStandIn) {
    store.set_silent_watch(Some(""));
    thread::sleep(CHANGE_TIME + Duration::from_millis(500));
}

fn with_new_key() -> Request {
    Request::new("GET", "/read/").with("X-Api-Key", NEW_KEY)
}

fn on_added_route() -> Request {
    Request::new("GET", "/added/")
}

fn with_wrong_key() -> Request {
    Request::new("GET", "/read/").with("X-Api-Key", "key-of-nobody")
}

/// Asserts that a request was not run and that its caller is told to come back.
fn assert_not_final(
    response: &Response,
    case: &str,
) {
    assert_eq!(response.status, 503, "{case}: {}", response.text());
    assert!(response.header("retry-after").is_some(), "{case}");
    assert!(response.text().contains("config_unavailable"), "{case}");
}

/// A request, by what it is about.
type Case = (&'static str, Vec<u8>);

/// Requests that only the newer configuration allows.
fn allowed_later() -> Vec<Case> {
    vec![
        ("key", with_new_key().bytes()),
        ("route", on_added_route().bytes()),
    ]
}

/// Asserts that requests are served that only the store's configuration allows, at a VM that doesn't have it yet.
fn assert_brought_up_to_date(cases: &[Case]) {
    for is_history_lost in [false, true] {
        for (case, bytes) in cases {
            let (store, _upstreams) = start_platform(&["s-1"]);
            let vm = Vm::start(&store);
            let_views_age(&store);
            store.put(CONFIG, &newer_config());
            if is_history_lost {
                store.compact_history();
            }
            let response = exchange(vm.callers, bytes).unwrap();
            let name = format!("{case}, history lost: {is_history_lost}");
            assert_eq!(response.status, 200, "{name}: {}", response.text());
        }
    }
}

/// Asserts that such requests are not refused for good while the store is away.
fn assert_uncertain_without_store(cases: &[Case]) {
    for outage in [Outage::Unavailable, Outage::Silent] {
        let (store, upstreams) = start_platform(&["s-1"]);
        let vm = Vm::start(&store);
        store.set_outage(outage);
        thread::sleep(CHANGE_TIME + Duration::from_millis(500));
        let ran = upstreams[0].executed().len();
        for (case, bytes) in cases {
            let began = Instant::now();
            let response = exchange(vm.callers, bytes).unwrap();
            assert_not_final(&response, case);
            assert!(began.elapsed() < Duration::from_secs(1), "{case}");
        }
        assert_eq!(upstreams[0].executed().len(), ran);
        assert_eq!(vm.send_request(&Request::new("GET", "/read/")).status, 200);
    }
}

#[test]
fn an_old_view_is_brought_up_to_date() {
    // Guards against refusing by an old configuration what the store's configuration allows.
    assert_brought_up_to_date(&allowed_later());
}

#[test]
fn an_unconfirmed_view_refuses_nothing_for_good() {
    // Guards against refusing for good by an old configuration while the store is away.
    assert_uncertain_without_store(&allowed_later());
}

#[test]
fn a_confirmed_view_refuses_for_good() {
    // Guards against callers that come back again and again with what no configuration allows.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let_views_age(&store);
    let statuses = [
        vm.send_request(&with_wrong_key()).status,
        vm.send_request(&Request::new("GET", "/read/").without("X-Api-Key"))
            .status,
        vm.send_request(&Request::new("GET", "/nowhere/")).status,
    ];
    assert_eq!(statuses, [401, 401, 404]);
}

fn with_long_head() -> Request {
    Request::new("GET", "/read/").with("X-Long", &"a".repeat(8_000))
}

fn with_long_body() -> Request {
    Request::new("POST", "/write/").body(&vec![b'a'; 100_000])
}

/// The bytes of a request whose body of 100,000 bytes comes in chunks.
fn in_chunks() -> Vec<u8> {
    let head = Request::new("POST", "/write/").with("Transfer-Encoding", "chunked");
    let chunk = [b"2710\r\n".as_slice(), &[b'a'; 10_000], b"\r\n"].concat();
    [head.bytes(), chunk.repeat(10), b"0\r\n\r\n".to_vec()].concat()
}

/// Requests that are within the newer configuration's limits only.
fn within_later_limits() -> Vec<Case> {
    vec![
        ("head", with_long_head().bytes()),
        ("body", with_long_body().bytes()),
        ("chunks", in_chunks()),
    ]
}

#[test]
fn old_limits_are_brought_up_to_date() {
    // Guards against refusing by old limits what is within those of the store's configuration.
    assert_brought_up_to_date(&within_later_limits());
}

#[test]
fn unconfirmed_limits_refuse_nothing_for_good() {
    // Guards against refusing for good by old limits while the store is away.
    assert_uncertain_without_store(&within_later_limits());
}

#[test]
fn confirmed_limits_refuse_for_good() {
    // Guards against callers that come back again and again with what no configuration allows.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let_views_age(&store);
    let statuses = within_later_limits()
        .iter()
        .map(|(_, bytes)| exchange(vm.callers, bytes).unwrap().status)
        .collect::<Vec<u16>>();
    assert_eq!(statuses, [431, 413, 413]);
}

#[test]
fn default_limits_refuse_nothing_for_good() {
    // Guards against refusing for good by the limits of a VM that has no configuration.
    let (store, upstreams) = start_platform(&["s-1"]);
    store.set_outage(Outage::Silent);
    let vm = Vm::start_unready(&store);
    let long = "a".repeat(20_000);
    let long_head = Request::new("GET", "/read/").with("X-Long", &long);
    let long_body = Request::new("POST", "/write/").with("Content-Length", "5000000");
    for (case, request) in [("head", long_head), ("body", long_body)] {
        assert_not_final(&vm.send_request(&request), case);
    }
    assert_eq!(upstreams[0].executed(), []);
}

#[test]
fn one_vms_memory_refuses_nothing_for_good() {
    // Guards against refusing for good what the configuration allows, because of this VM's settings.
    for (setting, kb, status) in [("exchange_kb", 64, 429), ("upstream_kb", 80, 503)] {
        let (store, upstreams) = start_platform(&["s-1"]);
        store.put(CONFIG, &newer_config());
        let name = format!("memory-{setting}-{}", std::process::id());
        let vm = Vm::start_with_settings(store.address(), &name, |settings| {
            settings["bytes"] = json!({setting: kb});
        });
        wait_until("the daemon is ready", || vm.is_ready());
        wait_until("it serves", || {
            vm.send_request(&Request::new("GET", "/read/")).status == 200
        });
        let ran = upstreams[0].executed().len();
        let response = vm.send_request(&with_long_body());
        assert_eq!(response.status, status, "{setting}: {}", response.text());
        assert!(response.header("retry-after").is_some(), "{setting}");
        assert_eq!(upstreams[0].executed().len(), ran);
    }
}

/// Sends wrong keys by several callers at once for a while; returns how many questions that made, and the
/// answers by status.
fn flood(
    store: &KvStandIn,
    vm: &Vm,
    time: Duration,
) -> (u64, BTreeMap<u16, usize>) {
    let before = store.watches(CONFIG);
    let until = Instant::now() + time;
    let call = || {
        let mut statuses = Vec::new();
        while Instant::now() < until {
            statuses.push(vm.send_request(&with_wrong_key()).status);
        }
        statuses
    };
    let statuses = thread::scope(|scope| {
        let callers: Vec<_> = (0..8).map(|_| scope.spawn(call)).collect();
        let statuses = callers.into_iter().map(|caller| caller.join().unwrap());
        statuses.flatten().collect::<Vec<u16>>()
    });
    let mut counts = BTreeMap::new();
    for status in statuses {
        *counts.entry(status).or_default() += 1;
    }
    (store.watches(CONFIG) - before, counts)
}

const FLOOD_TIME: Duration = Duration::from_secs(4);

#[test]
fn a_flood_of_wrong_keys_asks_seldom() {
    // Guards against a question to the store for each wrong key.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let_views_age(&store);
    let (questions, statuses) = flood(&store, &vm, FLOOD_TIME);
    println!("{questions} questions for wrong keys: {statuses:?}");
    assert!(statuses.keys().eq([&401]), "{statuses:?}");
    let allowed = FLOOD_TIME.as_millis() / MAX_VIEW_AGE.as_millis() + 2;
    assert!(
        (1..=allowed).contains(&u128::from(questions)),
        "{questions}"
    );
}

#[test]
fn a_flood_of_wrong_keys_spares_a_failing_store() {
    // Guards against asking a store in trouble again and again.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    store.set_outage(Outage::Unavailable);
    thread::sleep(CHANGE_TIME + Duration::from_millis(500));
    let (questions, statuses) = flood(&store, &vm, FLOOD_TIME);
    println!("{questions} questions for wrong keys: {statuses:?}");
    assert!(statuses.keys().eq([&503]), "{statuses:?}");
    let allowed = FLOOD_TIME.as_millis() / FAILURE_PAUSE.as_millis() + 2;
    assert!(
        (1..=allowed).contains(&u128::from(questions)),
        "{questions}"
    );
}

#[test]
fn views_in_touch_ask_nothing() {
    // Guards against questions to the store by VMs that read changes in time, directly or from another VM.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vms = start_vms(&store, "in-touch");
    let before = store.watches(CONFIG);
    let until = Instant::now() + FLOOD_TIME;
    let mut is_draining = false;
    while Instant::now() < until {
        let state = if is_draining { "draining" } else { "ready" };
        store.put(
            &upstreams[1].key(),
            &upstreams[1].entry("app", "one", state),
        );
        is_draining = !is_draining;
        for vm in &vms {
            assert_eq!(vm.send_request(&with_wrong_key()).status, 401);
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(store.watches(CONFIG) - before, 0);
}
