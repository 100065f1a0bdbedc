//! Changes of the store that a VM can't read as changes any more.

mod deployment;

use {
    deployment::{Vm, moved_config, serves_path, start_platform, wait_until},
    jasmine_platform_stand_in::KvStandIn,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Allowed time until a configuration is in force everywhere, though the changes don't arrive as they should.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(8);
/// The largest answer to a watch that arrives, in bytes.
const MAX_WATCH_BYTES: usize = 300_000;
/// Size of a value that is written again and again, in bytes.
const LARGE_VALUE: usize = 100_000;
/// Most changes in an answer to a watch.
const MAX_WATCH_EVENTS: usize = 4;
/// How long large values are written, and how often.
const WRITE_TIME: Duration = Duration::from_secs(6);
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// Allowed time for which a follower's changes come late beside those of the VM that reads for it.
const MAX_RELAY_TIME: Duration = Duration::from_secs(2);

/// Writes more changes at once than an answer to a watch may hold, and then a configuration.
fn put_many_changes(
    store: &KvStandIn,
    version: u64,
    path: &str,
) {
    for _ in 0..8 {
        store.put_bytes("jasmine/elsewhere", &vec![b'x'; LARGE_VALUE]);
    }
    store.put("op/config", &moved_config(version, path));
}

fn start_vms(
    store: &KvStandIn,
    count: usize,
) -> Vec<Vm> {
    let vms: Vec<Vm> = (0..count).map(|_| Vm::start(store)).collect();
    for vm in &vms {
        wait_until("a leader is known", || {
            !vm.log_lines("lead_taken").is_empty() || !vm.log_lines("leader_followed").is_empty()
        });
    }
    thread::sleep(Duration::from_millis(1_500));
    vms
}

/// Asserts that all VMs apply the configuration that was written at `began`.
fn assert_applied(
    vms: &[Vm],
    began: Instant,
) {
    for vm in vms {
        wait_until("the configuration is applied", || {
            serves_path(vm, "/moved/") || began.elapsed() > MAX_CHANGE_TIME
        });
    }
    let took = began.elapsed();
    println!("applied after {} ms", took.as_millis());
    assert!(took < MAX_CHANGE_TIME, "{took:?}");
}

#[test]
fn changes_too_large_to_arrive() {
    // Guards against VMs that ask for the same changes for as long as the store keeps them, while none of them arrive.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vms = start_vms(&store, 3);
    store.set_max_watch_bytes(Some(MAX_WATCH_BYTES));
    let began = Instant::now();
    put_many_changes(&store, 2, "/moved/");
    assert_applied(&vms, began);
}

#[test]
fn changes_faster_than_they_are_read() {
    // Guards against a reader that pauses while the store holds more changes, falls behind, and takes its view for complete.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vms = start_vms(&store, 3);
    store.set_max_watch_events(Some(MAX_WATCH_EVENTS));
    let until = Instant::now() + WRITE_TIME;
    while Instant::now() < until {
        store.put_bytes("jasmine/elsewhere", &vec![b'x'; LARGE_VALUE]);
        thread::sleep(WRITE_INTERVAL);
    }
    let began = Instant::now();
    store.put("op/config", &moved_config(2, "/moved/"));
    assert_applied(&vms, began);
}

#[test]
fn lost_history_is_read_once_a_data_centre() {
    // Guards against reads of the whole store by all VMs as the one that reads it for them has lost the history.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vms = start_vms(&store, 12);
    let read = |vm: &Vm| vm.log_lines("store_read").len();
    let before: usize = vms.iter().map(read).sum();
    let began = Instant::now();
    store.put("op/config", &moved_config(2, "/moved/"));
    store.compact_history();
    for vm in &vms {
        wait_until("the configuration is applied", || {
            serves_path(vm, "/moved/")
        });
    }
    let took = began.elapsed();
    thread::sleep(Duration::from_millis(1_500));
    let reads = vms.iter().map(read).sum::<usize>() - before;
    println!("applied after {} ms, {reads} reads", took.as_millis());
    assert!(took < MAX_RELAY_TIME, "{took:?}");
    // The relay and the leader.
    assert!(reads <= 2, "{reads} reads");
}

#[test]
fn keys_deleted_in_lost_history_are_gone_at_followers() {
    // Guards against followers that keep what was deleted while their reader had lost the history.
    let (store, _upstreams) = start_platform(&["s-1", "s-2"]);
    let vms = start_vms(&store, 4);
    let gone = |vm: &Vm| vm.log_lines("upstream_gone").len();
    store.remove("servers/s-2");
    store.compact_history();
    for vm in &vms {
        wait_until("the upstream is gone", || gone(vm) == 1);
    }
}
