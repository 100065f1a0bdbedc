//! Streams that are taken up at a VM that was out of step while upstreams of another software version joined.

mod deployment;

use {
    deployment::{
        Event, Request, Response, Vm, exchange, parse_events, start_linked_vms,
        streams::{
            BROKEN_AFTER, EVENTS, builds_of, join_service, new_stream, open_stream, resume,
            set_all, start_builds,
        },
        wait_until,
    },
    jasmine_platform_stand_in::{Behaviour, KvStandIn, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault, Link, Proxy},
    nix::sys::signal::Signal,
    serde_json::json,
    std::{
        collections::BTreeSet,
        io::Read,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

const STREAMS: usize = 20;
/// How long a VM has to know all upstreams before it trusts its view without a record.
const SETTLING_TIME: Duration = Duration::from_secs(16);
/// Time from the registration of upstreams until VMs in touch use them.
const JOINING_TIME: Duration = Duration::from_secs(2);
/// The VM that falls out of step; the first one leads.
const LATE: usize = 2;

/// A stream of which a caller has received the first events.
type BegunStream = (Request, Vec<Event>);

/// Three VMs beside upstreams of one version, which they have known for a while.
struct Site {
    store: KvStandIn,
    links: Vec<Proxy>,
    vms: Vec<Vm>,
    upstreams: Vec<UpstreamStandIn>,
}

impl Site {
    fn start(name: &str) -> Self {
        let (store, upstreams) = start_builds(&["v1"]);
        let (links, vms) = start_linked_vms(&store, name, 3);
        for vm in &vms {
            wait_until("the daemon is ready", || vm.is_ready());
        }
        let started = Instant::now();
        wait_until("each VM asks all others", || {
            vms.iter().all(|vm| {
                vm.send_request(&resume(&new_stream(), BROKEN_AFTER));
                vm.log().contains(" asked=2 answered=2 ")
            })
        });
        thread::sleep(SETTLING_TIME.saturating_sub(started.elapsed()));
        Self {
            store,
            links,
            vms,
            upstreams,
        }
    }

    /// Registers upstreams of a second version.
    fn join(&mut self) {
        for number in 1..=4 {
            let upstream = join_service(&self.store, &format!("s-{number}"), "v2");
            self.upstreams.push(upstream);
        }
        thread::sleep(JOINING_TIME);
    }

    /// Begins streams at a VM, all of which lose their connections.
    fn begin_streams(
        &self,
        vm: usize,
    ) -> Vec<BegunStream> {
        set_all(&self.upstreams, &Behaviour::SilentAfter(BROKEN_AFTER));
        let requests: Vec<Request> = (0..STREAMS).map(|_| new_stream()).collect();
        let open = |req: &Request| open_stream(&self.vms[vm], req);
        let streams: Vec<_> = requests.iter().map(open).collect();
        let events = streams.into_iter().map(|(_connection, events)| events);
        let begun: Vec<BegunStream> = requests.into_iter().zip(events).collect();
        set_all(&self.upstreams, &Behaviour::Events(EVENTS));
        begun
    }

    /// Takes up streams at the late VM, all at once; `resumed` is called when their requests are on the way.
    fn take_up<F>(
        &self,
        streams: &[BegunStream],
        is_named: bool,
        resumed: F,
    ) -> Vec<Response>
    where
        F: FnOnce(),
    {
        let callers = self.vms[LATE].callers;
        thread::scope(|scope| {
            let send = |stream: &BegunStream| {
                let named = resume(&stream.0, BROKEN_AFTER);
                let req = if is_named {
                    named
                } else {
                    named.without("Resumes")
                };
                scope.spawn(move || exchange(callers, &req.bytes()))
            };
            let answers: Vec<_> = streams.iter().map(send).collect();
            thread::sleep(Duration::from_millis(100));
            resumed();
            let answers = answers.into_iter().map(|it| it.join().unwrap().unwrap());
            answers.collect()
        })
    }
}

/// Counts the streams whose events are of two versions.
fn count_joined(
    streams: &[BegunStream],
    responses: &[Response],
) -> usize {
    let is_joined = |((_, events), rest): &(&BegunStream, &Response)| {
        let all = [events.clone(), rest.events()].concat();
        builds_of(&all).len() > 1
    };
    streams.iter().zip(responses).filter(is_joined).count()
}

/// Takes up streams at a VM that was suspended while a second version joined and the other VMs were lost.
fn join_at_suspended(
    name: &str,
    is_named: bool,
    store_link: Link,
) -> usize {
    let mut site = Site::start(name);
    site.vms[LATE].signal(Signal::SIGSTOP);
    site.links[LATE].set(store_link);
    site.join();
    let streams = site.begin_streams(0);
    let builds: BTreeSet<&str> = streams.iter().flat_map(|it| builds_of(&it.1)).collect();
    assert!(builds.contains("v2"), "all streams began at {builds:?}");
    for vm in &site.vms[..LATE] {
        vm.signal(Signal::SIGKILL);
    }
    let resumed = || site.vms[LATE].signal(Signal::SIGCONT);
    let responses = site.take_up(&streams, is_named, resumed);
    count_joined(&streams, &responses)
}

/// A store that answers late, but in time for a lookup.
const SLOW_STORE: Link = Link {
    mode: Fault::Pass,
    delay_ms: 50,
    close_after: None,
    piece_bytes: None,
};
/// A store that doesn't answer.
const NO_STORE: Link = Link {
    mode: Fault::Cut,
    ..SLOW_STORE
};

#[test]
fn unnamed_streams_are_not_joined_at_a_suspended_vm() {
    // Guards against a VM that goes on with its view of before, when a single version was in service.
    assert_eq!(join_at_suspended("unnamed", false, SLOW_STORE), 0);
}

#[test]
fn named_streams_are_not_joined_at_a_suspended_vm() {
    // The same for callers that name their first attempt.
    assert_eq!(join_at_suspended("named", true, SLOW_STORE), 0);
}

#[test]
fn streams_are_not_joined_at_a_vm_alone() {
    // Guards against the same view where neither the store nor another VM answers.
    assert_eq!(join_at_suspended("alone", false, NO_STORE), 0);
}

/// Takes up streams of the only version at a VM, while the store answers the VMs whose links stay as they are.
fn take_up_without_store(
    name: &str,
    cut_off: &[usize],
) {
    let site = Site::start(name);
    let streams = site.begin_streams(0);
    for &vm in cut_off {
        site.links[vm].set(NO_STORE);
    }
    // Until no VM waits for an answer of the store any more.
    thread::sleep(JOINING_TIME);
    let responses = site.take_up(&streams, false, || {});
    let served = responses.iter().filter(|rest| rest.status == 200).count();
    assert_eq!(served, STREAMS, "{:?}", responses[0]);
}

#[test]
fn streams_go_on_without_the_store() {
    // Guards against refusing the streams of a single version in an outage of the store.
    take_up_without_store("outage", &[0, 1, 2]);
}

#[test]
fn streams_go_on_at_a_vm_without_the_store() {
    // Guards against refusing them at a VM that alone doesn't reach the store.
    take_up_without_store("cut-off", &[LATE]);
}

/// How long a VM is suspended in which its upstreams start again.
const SUSPENSION: Duration = Duration::from_secs(4);

#[test]
fn a_suspended_vm_does_not_go_on_at_restarted_upstreams() {
    // Guards against an answer that goes on after its VM was suspended, at an upstream that is of another version by now.
    let (store, upstreams) = start_builds(&["v1", "v1"]);
    let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
    let register = |upstream: &UpstreamStandIn, link: &Proxy, born: u64| {
        let mut entry = upstream.entry("app", "one", "ready");
        entry["address"] = json!(link.address().to_string());
        entry["born"] = json!(born);
        store.put(&upstream.key(), &entry);
    };
    let ways: Vec<Proxy> = upstreams
        .iter()
        .map(|upstream| {
            let entry = upstream.entry("app", "one", "ready");
            let address = entry["address"].as_str().unwrap().parse().unwrap();
            Proxy::start(any_address, address).unwrap()
        })
        .collect();
    for (upstream, way) in upstreams.iter().zip(&ways) {
        register(upstream, way, 1_700_000_000_000);
    }
    let store_link = Proxy::start(any_address, store.address()).unwrap();
    let name = format!("restarted-{}", std::process::id());
    let vm = Vm::start_with_store(store_link.address(), &name);
    wait_until("it leads", || !vm.log_lines("lead_taken").is_empty());
    set_all(&upstreams, &Behaviour::SilentAfter(BROKEN_AFTER));
    let (mut caller, events) = open_stream(&vm, &new_stream().with("X-Deadline-Ms", "15000"));
    vm.signal(Signal::SIGSTOP);
    store_link.set(SLOW_STORE);
    set_all(&upstreams, &Behaviour::Events(EVENTS));
    for (upstream, way) in upstreams.iter().zip(&ways) {
        way.set_mode(Fault::Reset);
        upstream.set_build("v2");
        register(upstream, way, 1_700_000_009_000);
    }
    thread::sleep(SUSPENSION);
    for way in &ways {
        way.set_mode(Fault::Pass);
    }
    vm.signal(Signal::SIGCONT);
    let mut rest = String::new();
    // The answer may be cut, which is no failure here.
    let _cut = caller.read_to_string(&mut rest);
    let all = [events, parse_events(&rest.replace("\r\n", "\n"))].concat();
    assert_eq!(builds_of(&all).len(), 1, "{all:?}");
}
