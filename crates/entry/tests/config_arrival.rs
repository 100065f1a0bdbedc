//! When a changed configuration is in force at all VMs, beside disruptions of the VMs that read it and of the store.

mod deployment;

use {
    deployment::{Vm, moved_config, serves_path, start_linked_vms, start_platform, wait_until},
    jasmine_core::feed::VmRank,
    jasmine_platform_stand_in::{KvStandIn, Outage, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault, Link, Proxy},
    nix::sys::signal::Signal,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Allowed time until a configuration is applied, the daemons' `change_ms`.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(2);
/// In which a change is in force everywhere, also while the store is slow.
const MAX_SLOW_CHANGE_TIME: Duration = Duration::from_secs(8);
/// Time after a disruption of the store from which the bound holds again.
const CONTACT: Duration = Duration::from_secs(3);
/// How long the store loses its answers.
const OUTAGE: Duration = Duration::from_secs(2);
/// Time for VMs to find a leader and the one that reads for them.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
const VMS: usize = 8;

struct Site {
    store: KvStandIn,
    links: Vec<Proxy>,
    vms: Vec<Vm>,
    version: u64,
    _upstreams: Vec<UpstreamStandIn>,
}

impl Site {
    fn start(name: &str) -> Self {
        let (store, upstreams) = start_platform(&["s-1"]);
        let (links, vms) = start_linked_vms(&store, name, VMS);
        for vm in &vms {
            wait_until("a leader is known", || {
                !vm.log_lines("lead_taken").is_empty()
                    || !vm.log_lines("leader_followed").is_empty()
            });
        }
        thread::sleep(SETTLE_TIME);
        Self {
            store,
            links,
            vms,
            version: 1,
            _upstreams: upstreams,
        }
    }

    /// The VMs in the order in which they read the store for the others.
    fn ranked(&self) -> Vec<usize> {
        let mut ranked: Vec<usize> = (0..self.vms.len()).collect();
        ranked.sort_by_key(|&vm| VmRank::new(&self.vms[vm].name, false));
        ranked
    }

    /// Writes a configuration and asserts that it is in force at all VMs but one within `max`.
    fn assert_arrives(
        &mut self,
        except: Option<usize>,
        max: Duration,
    ) {
        self.version += 1;
        let path = format!("/moved-{}/", self.version);
        let began = Instant::now();
        self.store
            .put("op/config", &moved_config(self.version, &path));
        for (number, vm) in self.vms.iter().enumerate() {
            if Some(number) != except {
                wait_until("the configuration is applied", || serves_path(vm, &path));
            }
        }
        let took = began.elapsed();
        println!("applied after {} ms", took.as_millis());
        assert!(took < max, "{took:?}");
    }
}

#[test]
fn beside_a_stopped_reader() {
    // Guards against VMs that wait for changes from one that is gone.
    let mut site = Site::start("stopped");
    for _ in 0..3 {
        let first = site.ranked()[0];
        let vm = site.vms.remove(first);
        vm.signal(Signal::SIGTERM);
        site.assert_arrives(None, MAX_CHANGE_TIME);
    }
}

#[test]
fn beside_a_refused_reader() {
    // Guards against a data centre without changes while the store turns away the VM that reads for it.
    let mut site = Site::start("refused");
    for reader in site.ranked().into_iter().take(3) {
        site.links[reader].set_mode(Fault::Refuse);
        site.assert_arrives(Some(reader), MAX_CHANGE_TIME);
        site.links[reader].set_mode(Fault::Pass);
        thread::sleep(CONTACT);
    }
}

#[test]
fn beside_a_slow_store() {
    // Guards against changes that are asked for again while their answer is on its way.
    let mut site = Site::start("slow");
    for link in &site.links {
        let slow = Link {
            delay_ms: 300,
            ..Link::default()
        };
        link.set(slow);
    }
    for _ in 0..3 {
        site.assert_arrives(None, MAX_SLOW_CHANGE_TIME);
    }
}

#[test]
fn after_lost_answers() {
    // Guards against readers that stay behind once the store answers again.
    let mut site = Site::start("lost");
    for _ in 0..2 {
        site.store.set_outage(Outage::LostResponses);
        thread::sleep(OUTAGE);
        site.store.set_outage(Outage::None);
        site.assert_arrives(None, CONTACT + MAX_CHANGE_TIME);
    }
}

#[test]
fn beside_vms_started_in_turn() {
    // Guards against changes that get lost as their readers change one after the other.
    let mut site = Site::start("turn");
    for number in 0..VMS {
        let mut old = site.vms.remove(0);
        old.signal(Signal::SIGTERM);
        old.wait_for_exit();
        let name = format!("turned-{}-{number}", std::process::id());
        let vm = Vm::start_with_store(site.links[0].address(), &name);
        wait_until("it is ready", || vm.is_ready());
        site.vms.push(vm);
        site.assert_arrives(None, MAX_CHANGE_TIME);
    }
}
