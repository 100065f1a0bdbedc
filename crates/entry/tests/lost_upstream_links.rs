//! VMs that reach no upstream while callers, the store and the other VMs still reach them.

mod deployment;

use {
    deployment::{Request, Vm, call_all, config, count_runs, source_address, wait_until},
    jasmine_platform_stand_in::{Behaviour, EngineStandIn, KvStandIn, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault, Proxy},
    nix::sys::signal::Signal,
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time after the begin of a cut from which callers of the VM are served as those of others.
const CONTACT: Duration = Duration::from_secs(3);
/// Delay between the requests of a test.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const REQUESTS: usize = 40;
/// How long a refusal may take of a request that can't be served.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// VMs whose links to the upstreams can be cut.
struct Site {
    store: KvStandIn,
    upstreams: Vec<UpstreamStandIn>,
    links: Vec<Proxy>,
    vms: Vec<Vm>,
}

impl Site {
    /// Starts VMs of which the first leads.
    fn start(
        name: &str,
        upstreams: &[&str],
        vms: usize,
    ) -> Self {
        let store = KvStandIn::start().unwrap();
        store.put("op/config", &config(1));
        let mut site = Self {
            store,
            upstreams: Vec::new(),
            links: Vec::new(),
            vms: Vec::new(),
        };
        for id in upstreams {
            let upstream = UpstreamStandIn::start(id).unwrap();
            let entry = upstream.entry("app", "one", "ready");
            site.register(&upstream.key(), entry);
            site.upstreams.push(upstream);
        }
        for number in 0..vms {
            let vm_name = format!("{name}-{number}-{}", std::process::id());
            let vm = Vm::start_with_settings(site.store.address(), &vm_name, |settings| {
                settings["upstream_source"] = json!(source_address(number));
            });
            wait_until("the daemon is ready", || vm.is_ready());
            let (event, role) = match number {
                0 => ("lead_taken", "it leads"),
                _ => ("leader_followed", "it follows"),
            };
            wait_until(role, || !vm.log_lines(event).is_empty());
            site.vms.push(vm);
        }
        site
    }

    /// Registers an upstream behind a proxy.
    fn register(
        &mut self,
        key: &str,
        mut entry: serde_json::Value,
    ) {
        let target = entry["address"].as_str().unwrap().parse().unwrap();
        let proxy = Proxy::start("127.0.0.1:0".parse().unwrap(), target).unwrap();
        entry["address"] = json!(proxy.address().to_string());
        self.store.put(key, &entry);
        self.links.push(proxy);
    }

    fn set_links(
        &self,
        vm: usize,
        mode: Option<Fault>,
    ) {
        for link in &self.links {
            link.set_mode_for(source_address(vm), mode);
        }
    }

    /// Sends requests through one VM and counts those that were served whole.
    fn count_served(
        &self,
        vm: usize,
        method: &'static str,
        target: &str,
    ) -> usize {
        let served = (0..REQUESTS).filter(|_| {
            thread::sleep(REQUEST_INTERVAL);
            let request = Request::new(method, target).body(b"prompt");
            let response = self.vms[vm].send_request(&request);
            assert!(count_runs(&self.upstreams, request.id()) <= 2);
            response.status == 200 && response.is_complete
        });
        served.count()
    }
}

#[test]
fn a_vm_without_links_is_served_by_others() {
    // Guards against callers that are not served because their VM alone has lost its links to the upstreams.
    for (number, mode) in [Fault::Cut, Fault::Refuse, Fault::Reset]
        .into_iter()
        .enumerate()
    {
        let site = Site::start(&format!("cut-{number}"), &["s-1", "s-2"], 3);
        for upstream in &site.upstreams {
            upstream.set_default(Behaviour::Events(3));
        }
        site.count_served(1, "POST", "/stream/");
        site.set_links(1, Some(mode));
        let until = Instant::now() + CONTACT;
        while Instant::now() < until {
            site.vms[1].send_request(&Request::new("POST", "/stream/").body(b"prompt"));
        }
        let served = site.count_served(1, "POST", "/stream/");
        assert!(served >= REQUESTS - 1, "{mode:?}: {served} of {REQUESTS}");
        let served = site.count_served(1, "POST", "/once/");
        assert!(
            served >= REQUESTS - 1,
            "{mode:?}: once: {served} of {REQUESTS}"
        );
        site.set_links(1, None);
        wait_until("it uses its own links again", || {
            !site.vms[1].log_lines("links_restored").is_empty()
        });
        let relayed = site.vms[1].log_lines("request_relayed").len();
        assert_eq!(site.count_served(1, "POST", "/stream/"), REQUESTS);
        assert_eq!(site.vms[1].log_lines("request_relayed").len(), relayed);
    }
}

#[test]
fn a_leader_without_links_hands_over() {
    // Guards against engines without orders while the leader alone has lost its links to them.
    let mut site = Site::start("cut-leader", &["s-1", "s-2"], 3);
    let engine = EngineStandIn::start("e-1").unwrap();
    site.register(&engine.key(), engine.entry("llm", "one"));
    let generation = |adapter: &str| {
        Request::new("POST", "/model/")
            .with("X-Model", &format!("base/{adapter}"))
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "a1:50,b2:50")
            .body(b"prompt")
    };
    assert_eq!(site.vms[1].send_request(&generation("a1")).status, 200);
    site.set_links(0, Some(Fault::Cut));
    let until = Instant::now() + CONTACT;
    while Instant::now() < until {
        site.vms[0].send_request(&Request::new("GET", "/read/"));
        thread::sleep(REQUEST_INTERVAL);
    }
    for (number, vm) in site.vms.iter().enumerate() {
        let response = vm.send_request(&generation(&format!("a{}", number + 2)));
        assert_eq!(response.status, 200, "VM {number}: {response:?}");
    }
}

#[test]
fn a_relay_keeps_what_upstreams_stated_to_it() {
    // Guards against requests that a VM sends for another one to an upstream that has told it that it leaves.
    let site = Site::start("cut-left", &["s-1", "s-2"], 2);
    let leaving = &site.upstreams[0];
    leaving.headers.set("Server-Leaving", Some("1"));
    while leaving.arrivals().is_empty() {
        site.vms[1].send_request(&Request::new("GET", "/read/"));
    }
    leaving.headers.set("Server-Leaving", None);
    site.set_links(0, Some(Fault::Cut));
    let until = Instant::now() + CONTACT;
    while Instant::now() < until {
        site.vms[0].send_request(&Request::new("GET", "/read/"));
    }
    let arrived = leaving.arrivals().len();
    assert_eq!(site.count_served(0, "GET", "/read/"), REQUESTS);
    assert_eq!(leaving.arrivals().len(), arrived);
}

#[test]
fn a_site_without_links_refuses_at_once() {
    // Guards against requests that wait until their deadline although no VM reaches an upstream.
    let site = Site::start("cut-all", &["s-1", "s-2"], 2);
    site.count_served(1, "GET", "/read/");
    for vm in 0..2 {
        site.set_links(vm, Some(Fault::Cut));
    }
    let until = Instant::now() + CONTACT;
    while Instant::now() < until {
        for vm in &site.vms {
            vm.send_request(&Request::new("GET", "/read/"));
        }
    }
    for vm in &site.vms {
        let began = Instant::now();
        let response = vm.send_request(&Request::new("GET", "/read/"));
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.header("retry-after").is_some(), "{response:?}");
        assert!(began.elapsed() < MAX_REFUSAL_TIME, "{:?}", began.elapsed());
    }
    for vm in 0..2 {
        site.set_links(vm, None);
    }
    for vm in &site.vms {
        wait_until("it serves again", || {
            vm.send_request(&Request::new("GET", "/read/")).status == 200
        });
    }
}

#[test]
fn relayed_requests_count_for_a_request_limit() {
    // Guards against a sum over all VMs that exceeds a limit because some requests go through other VMs.
    const PER_SECOND: usize = 2;
    let site = Site::start("cut-limit", &["s-1"], 3);
    let limited = &site.upstreams[0];
    limited.headers.set("Server-Limit", Some("2"));
    let flood = |time| call_all(&site.vms, 2, time);
    flood(CONTACT);
    let from = Instant::now();
    // The leader, then all, then none.
    site.set_links(0, Some(Fault::Cut));
    flood(Duration::from_secs(4));
    for vm in 0..site.vms.len() {
        site.set_links(vm, Some(Fault::Reset));
    }
    flood(Duration::from_secs(2));
    for vm in 0..site.vms.len() {
        site.set_links(vm, None);
    }
    flood(Duration::from_secs(4));
    let arrivals = limited.arrivals();
    let times: Vec<Instant> = arrivals.iter().map(|arrival| arrival.at).collect();
    let window = Duration::from_secs(4);
    let in_window = |begin: Instant| {
        let is_in = |at: &&Instant| **at >= begin && **at < begin + window;
        times.iter().filter(is_in).count()
    };
    let most = times
        .iter()
        .filter(|at| **at >= from)
        .map(|&at| in_window(at))
        .max();
    let allowed = PER_SECOND * 6 + 5;
    assert!(
        most.is_some_and(|most| most <= allowed),
        "{most:?} of {allowed}"
    );
}

#[test]
fn a_silent_relay_is_not_a_silent_upstream() {
    // Guards against upstreams that are paused for all VMs because a VM that relays, or a VM's own links, failed.
    let site = Site::start("cut-relay", &["s-1", "s-2"], 3);
    site.count_served(1, "GET", "/read/");
    let reported = || site.vms[0].log_lines("failure_reported");
    site.set_links(1, Some(Fault::Reset));
    site.count_served(1, "GET", "/read/");
    site.vms[2].signal(Signal::SIGSTOP);
    site.count_served(1, "GET", "/read/");
    site.vms[2].signal(Signal::SIGCONT);
    let of_vm = |line: &String| line.contains(&site.vms[1].name);
    let lines: Vec<String> = reported().into_iter().filter(of_vm).collect();
    assert!(lines.is_empty(), "{lines:?}");
}

/// Two VMs of which the second relays through the first, and an upstream whose answers come twice.
fn start_relayed(name: &str) -> Site {
    let site = Site::start(name, &["s-1"], 2);
    site.upstreams[0].repeat_answers();
    site.set_links(1, Some(Fault::Reset));
    let until = Instant::now() + CONTACT;
    while Instant::now() < until {
        site.vms[1].send_request(&Request::new("GET", "/read/"));
    }
    site
}

#[test]
fn relayed_requests_get_their_own_answers() {
    // Guards against a VM that relays the second copy of an answer that names no request as that to the next one.
    let site = start_relayed("cut-unnamed");
    let upstream = &site.upstreams[0];
    // A connection that has been idle for so long isn't used for another VM's request.
    thread::sleep(Duration::from_millis(1_200));
    upstream.next(Behaviour::Unnamed(b"of another".to_vec()));
    for expected in ["of another", "ok", "ok"] {
        let response = site.vms[1].send_request(&Request::new("GET", "/read/"));
        assert_eq!((response.status, response.text().as_str()), (200, expected));
    }
}

#[test]
fn relayed_writes_run_once() {
    // Guards against a VM that takes the second copy of a refusal for the answer to the next attempt that it relays.
    let site = start_relayed("cut-second");
    let upstream = &site.upstreams[0];
    upstream.next(Behaviour::Shed);
    let request = Request::new("POST", "/write/").body(b"enrol");
    let response = site.vms[1].send_request(&request);
    let runs = count_runs(&site.upstreams, request.id());
    assert_eq!((response.status, runs), (200, 1));
}
