//! Relaying of store changes between VMs.

mod deployment;

use {
    deployment::{
        TIMEOUT, Vm, moved_config, serves_path, start_linked_vms, start_platform, wait_until,
    },
    jasmine_core::feed::VmRank,
    jasmine_platform_stand_in::KvStandIn,
    jasmine_testkit::proxy::Fault,
    nix::sys::signal::Signal,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Calls to the store per second from twelve VMs, including lease renewals; exceeded if each VM reads it directly.
const MAX_CALLS_PER_S: f64 = 22.0;
/// The same for two VMs that read it besides the relay and the leader, while others are late.
const MAX_CALLS_WHILE_LATE_PER_S: f64 = 19.0;
/// How long a late VM doesn't run; longer than others wait for its answer.
const LATE_TIME: Duration = Duration::from_millis(700);
/// A delay after which a VM still takes the answer to its last request, and makes the next one later than others.
const SHORT_LATE_TIME: Duration = Duration::from_millis(330);
/// Time after a VM was late in which those that missed its answer read changes elsewhere.
const REPLACED_TIME: Duration = Duration::from_secs(1);
/// Time after which a VM that was late is asked again.
const RECOVERY_TIME: Duration = Duration::from_millis(2_500);

/// Allowed time until a configuration is applied, the daemons' `change_ms`.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(2);

#[test]
fn few_vms_read_the_store() {
    // Guards against store load that grows with the number of VMs: only the relay and the leader read the store.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vms: Vec<Vm> = (0..12).map(|_| Vm::start(&store)).collect();
    thread::sleep(Duration::from_millis(1_500));
    let (before, began) = (store.calls(), Instant::now());
    for version in 2..6 {
        let path = format!("/moved-{version}/");
        store.put("op/config", &moved_config(version, &path));
        for vm in &vms {
            wait_until("the configuration is applied", || serves_path(vm, &path));
        }
        thread::sleep(Duration::from_millis(700));
    }
    let calls_per_s = (store.calls() - before) as f64 / began.elapsed().as_secs_f64();
    println!("{calls_per_s:.1} calls per second");
    assert!(
        calls_per_s < MAX_CALLS_PER_S,
        "{calls_per_s} calls per second"
    );
}

/// Starts twelve VMs, in the order in which they read the store for the others; the last one leads.
fn start_ranked_vms(store: &KvStandIn) -> Vec<Vm> {
    let mut names: Vec<String> = (0..12)
        .map(|number| format!("ranked-{}-{number}", store.address().port()))
        .collect();
    names.sort_by_key(|name| VmRank::new(name, false));
    let start = |name: &String| {
        let vm = Vm::start_as(store, name);
        wait_until("it is ready", || vm.is_ready());
        vm
    };
    let leader = start(&names[11]);
    wait_until("it leads", || !leader.log_lines("lead_taken").is_empty());
    let vms: Vec<Vm> = names[..11].iter().map(start).chain([leader]).collect();
    thread::sleep(Duration::from_millis(1_500));
    vms
}

fn suspend(
    vms: &[Vm],
    time: Duration,
) {
    for vm in vms {
        vm.signal(Signal::SIGSTOP);
    }
    thread::sleep(time);
    for vm in vms {
        vm.signal(Signal::SIGCONT);
    }
}

/// Asserts that the store gets few calls while VMs are late, and just after it.
fn assert_few_calls<F>(
    store: &KvStandIn,
    mut be_late: F,
) where
    F: FnMut(),
{
    let (mut calls, mut observed) = (0, Duration::ZERO);
    for _ in 0..3 {
        let (before, began) = (store.calls(), Instant::now());
        be_late();
        thread::sleep(REPLACED_TIME);
        calls += store.calls() - before;
        observed += began.elapsed();
        thread::sleep(RECOVERY_TIME);
    }
    let calls_per_s = calls as f64 / observed.as_secs_f64();
    println!("{calls_per_s:.1} calls per second");
    assert!(
        calls_per_s < MAX_CALLS_WHILE_LATE_PER_S,
        "{calls_per_s} calls per second"
    );
}

#[test]
fn few_vms_read_the_store_while_their_relay_is_late() {
    // Guards against reads of the store by all VMs that miss the relay before the VM that is to replace it does.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vms = start_ranked_vms(&store);
    assert_few_calls(&store, || {
        suspend(&vms[1..2], SHORT_LATE_TIME);
        thread::sleep(Duration::from_millis(20));
        suspend(&vms[..1], LATE_TIME);
    });
}

#[test]
fn few_vms_read_the_store_while_they_are_late() {
    // Guards against reads of the store by all VMs that were late themselves, while the relay was not.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vms = start_ranked_vms(&store);
    assert_few_calls(&store, || suspend(&vms[2..11], LATE_TIME));
}

#[test]
fn a_relay_cut_off_from_the_store_is_replaced() {
    // Guards against stale configuration, such as a revoked key, on all VMs when the relay loses the store unnoticed.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let (links, vms) = start_linked_vms(&store, "handed", 3);
    for vm in &vms {
        wait_until("it is ready", || vm.is_ready());
        wait_until("a leader is known", || {
            !vm.log_lines("lead_taken").is_empty() || !vm.log_lines("leader_followed").is_empty()
        });
    }
    thread::sleep(Duration::from_millis(1_500));
    for (cut, link) in links.iter().enumerate() {
        link.set_mode(Fault::Cut);
        let version = cut as u64 + 2;
        let path = format!("/moved-{version}/");
        let began = Instant::now();
        store.put("op/config", &moved_config(version, &path));
        for (_, vm) in vms.iter().enumerate().filter(|&(number, _)| number != cut) {
            wait_until("the configuration is applied", || serves_path(vm, &path));
        }
        let took = began.elapsed();
        println!("applied after {} ms", took.as_millis());
        assert!(took < MAX_CHANGE_TIME, "{took:?}");
        link.set_mode(Fault::Pass);
        let vm = &vms[cut];
        wait_until("it reads changes again", || serves_path(vm, &path));
        thread::sleep(Duration::from_millis(3_300));
    }
}

#[test]
fn changes_arrive_in_time_if_two_relays_are_cut_off() {
    // Guards against waiting too long for the first response of a VM that has lost the store as the relay has.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let (links, vms) = start_linked_vms(&store, "both", 5);
    for vm in &vms {
        wait_until("it is ready", || vm.is_ready());
        wait_until("a leader is known", || {
            !vm.log_lines("lead_taken").is_empty() || !vm.log_lines("leader_followed").is_empty()
        });
    }
    let mut ranked: Vec<usize> = (0..vms.len()).collect();
    ranked.sort_by_key(|&vm| VmRank::new(&vms[vm].name, false));
    let (cut, others) = ranked.split_at(2);
    thread::sleep(Duration::from_millis(1_500));
    for version in 2..6 {
        // The relay has just had a response, so it takes longest to notice.
        store.put("op/config", &moved_config(version * 10, "/before/"));
        for vm in &vms {
            wait_until("the configuration is applied", || {
                serves_path(vm, "/before/")
            });
        }
        for &vm in cut {
            links[vm].set_mode(Fault::Cut);
        }
        let path = format!("/moved-{version}/");
        let began = Instant::now();
        store.put("op/config", &moved_config(version * 10 + 1, &path));
        for &vm in others {
            wait_until("the configuration is applied", || {
                serves_path(&vms[vm], &path)
            });
        }
        let took = began.elapsed();
        println!("applied after {} ms", took.as_millis());
        assert!(took < MAX_CHANGE_TIME, "{took:?}");
        for &vm in cut {
            links[vm].set_mode(Fault::Pass);
        }
        for &vm in cut {
            wait_until("it reads changes again", || serves_path(&vms[vm], &path));
        }
        thread::sleep(Duration::from_millis(3_300));
    }
}

#[test]
fn a_suspended_relay_is_replaced() {
    // Guards against waiting forever for a suspended relay, whose connections stay open.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vms: Vec<Vm> = (0..3).map(|_| Vm::start(&store)).collect();
    thread::sleep(Duration::from_millis(1_500));
    for suspended in 0..vms.len() {
        vms[suspended].signal(Signal::SIGSTOP);
        let version = suspended as u64 + 2;
        let path = format!("/moved-{version}/");
        let began = Instant::now();
        store.put("op/config", &moved_config(version, &path));
        for (_, vm) in vms
            .iter()
            .enumerate()
            .filter(|&(number, _)| number != suspended)
        {
            wait_until("the configuration is applied", || serves_path(vm, &path));
        }
        assert!(
            began.elapsed() < Duration::from_secs(2),
            "{:?}",
            began.elapsed()
        );
        vms[suspended].signal(Signal::SIGCONT);
        wait_until("it reads changes again", || {
            serves_path(&vms[suspended], &path)
        });
        assert!(began.elapsed() < TIMEOUT);
        thread::sleep(Duration::from_millis(500));
    }
}
