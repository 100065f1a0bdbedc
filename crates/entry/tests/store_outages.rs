//! The platform's store away, slow of memory, or full of what others wrote.

mod deployment;

use {
    deployment::{Request, Vm, platform, until},
    jasmine_platform_stand_in::{Outage, UpstreamStandIn},
    serde_json::json,
    std::{thread, time::Duration},
};

#[test]
fn callers_are_served_through_an_outage() {
    // The store is away in each of its ways. What was known before holds; callers notice nothing.
    let (store, _upstreams) = platform(&["s-1"]);
    let vm = Vm::start(&store);
    for outage in [
        Outage::Busy,
        Outage::Many,
        Outage::Reset,
        Outage::Silent,
        Outage::LostAnswers,
    ] {
        store.set_outage(outage);
        thread::sleep(Duration::from_millis(300));
        assert_eq!(
            vm.ask(&Request::new("GET", "/read/")).status,
            200,
            "{outage:?}"
        );
        assert!(vm.is_ready(), "{outage:?}");
    }
    store.set_outage(Outage::None);
    let mut next = deployment::config(9);
    next["routes"][0]["path_prefix"] = json!("/moved/");
    store.put("op/config", &next);
    until("it follows again", || {
        vm.ask(&Request::new("GET", "/moved/")).status == 200
    });
}

#[test]
fn a_start_without_the_store_waits_for_it() {
    // A VM starts while the store is away. It has no configuration, so it can't tell a good key from a bad one:
    // it isn't ready, and whoever comes is told that nothing ran.
    let (store, upstreams) = platform(&["s-1"]);
    store.set_outage(Outage::Silent);
    let vm = Vm::start_unready(&store);
    assert!(!vm.is_ready());
    let answer = vm.ask(&Request::new("GET", "/read/"));
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert_eq!(upstreams[0].ran(), []);
    store.set_outage(Outage::None);
    until("it is ready", || vm.is_ready());
    assert_eq!(vm.ask(&Request::new("GET", "/read/")).status, 200);
}

#[test]
fn lost_history_is_read_anew() {
    // The store drops its history while changes are made. Who only waits for what comes next misses them for good.
    let (store, _upstreams) = platform(&["s-1"]);
    let vm = Vm::start(&store);
    store.set_outage(Outage::Busy);
    thread::sleep(Duration::from_millis(100));
    let mut next = deployment::config(3);
    next["routes"][0]["path_prefix"] = json!("/moved/");
    store.put("op/config", &next);
    store.forget_history();
    store.set_outage(Outage::None);
    until("the change is in force", || {
        vm.ask(&Request::new("GET", "/moved/")).status == 200
    });
    // Lines are written some ten milliseconds after they are made.
    until("it is told", || !vm.logged("history_lost").is_empty());
}

#[test]
fn what_others_wrote_harms_nobody() {
    // Entries of upstreams come from other writers too: bytes that are no JSON, fields that are missing or of
    // another type, states that mean nothing. They name no upstream; the others hold.
    let (store, upstreams) = platform(&["s-1"]);
    let vm = Vm::start(&store);
    let good = upstreams[0].entry("app", "one", "ready");
    let broken = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut entry = good.clone();
        change(&mut entry);
        entry.to_string().into_bytes()
    };
    let values = [
        vec![0xff, 0xfe],
        b"null".to_vec(),
        broken(&|entry| entry["address"] = json!("nowhere")),
        broken(&|entry| entry["slots"] = json!("six")),
        broken(&|entry| entry["state"] = json!("resting")),
        broken(&|entry| drop(entry.as_object_mut().unwrap().remove("zone"))),
        broken(&|entry| entry["born"] = json!(1.5)),
    ];
    for (at, value) in values.iter().enumerate() {
        store.put_bytes(&format!("servers/bad-{at}"), value);
    }
    store.put_bytes("op/version/base.a1", b"[]");
    until("all were read", || {
        vm.logged("entry_unreadable").len() >= values.len()
    });
    for _ in 0..5 {
        assert_eq!(vm.ask(&Request::new("GET", "/read/")).status, 200);
    }
}

#[test]
fn a_leaving_upstream_gets_nothing_new() {
    // An upstream says that it leaves, another one's entry is gone without a word. Both would take requests for a
    // moment longer and then break them off.
    let (store, upstreams) = platform(&["s-1", "s-2", "s-3"]);
    let vm = Vm::start(&store);
    store.put(
        &upstreams[0].key(),
        &upstreams[0].entry("app", "one", "draining"),
    );
    store.remove(&upstreams[1].key());
    thread::sleep(Duration::from_millis(1_900));
    let before = |upstream: &UpstreamStandIn| upstream.ran().len();
    let (first, second) = (before(&upstreams[0]), before(&upstreams[1]));
    for _ in 0..10 {
        assert_eq!(vm.ask(&Request::new("GET", "/read/")).status, 200);
    }
    assert_eq!(before(&upstreams[0]), first);
    assert_eq!(before(&upstreams[1]), second);
}

/// Guards against an upstream that left unseen among more entries than one page of the store holds.
#[test]
fn pages_tell_who_left() {
    let (store, upstreams) = platform(&["s-1", "s-2"]);
    for number in 0..40 {
        let key = format!("servers/r-{number:02}");
        store.put(&key, &upstreams[0].entry("spare", "one", "ready"));
    }
    let vm = Vm::start(&store);
    until("all were read", || !vm.logged("store_read").is_empty());
    store.set_outage(Outage::Busy);
    thread::sleep(Duration::from_millis(100));
    store.remove(&upstreams[1].key());
    store.forget_history();
    store.set_outage(Outage::None);
    until("it is known", || !vm.logged("upstream_gone").is_empty());
    let before = upstreams[1].ran().len();
    for _ in 0..10 {
        assert_eq!(vm.ask(&Request::new("GET", "/read/")).status, 200);
    }
    assert_eq!(upstreams[1].ran().len(), before);
}
