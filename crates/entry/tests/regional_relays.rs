//! Silent upstreams that are reached through VMs of other data centres.

mod deployment;

use {
    deployment::{Request, Vm, config, source_address, wait_until},
    jasmine_platform_stand_in::{Behaviour, KvStandIn, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault, Proxy},
    serde_json::{Value, json},
    std::{thread, time::Duration},
};

const EVENTS: u64 = 8;

/// Two VMs, of which the first leads, in data centres of their own, and upstreams in that of the first.
struct Site {
    _store: KvStandIn,
    upstreams: Vec<UpstreamStandIn>,
    links: Vec<Proxy>,
    vms: Vec<Vm>,
}

impl Site {
    fn start<F>(
        name: &str,
        change: F,
    ) -> Self
    where
        F: Fn(&mut Value),
    {
        let store = KvStandIn::start().unwrap();
        let mut config = config(1);
        change(&mut config);
        store.put("op/config", &config);
        let mut upstreams = Vec::new();
        let mut links = Vec::new();
        for id in ["s-1", "s-2"] {
            let upstream = UpstreamStandIn::start(id).unwrap();
            let mut entry = upstream.entry("app", "one", "ready");
            let target = entry["address"].as_str().unwrap().parse().unwrap();
            let link = Proxy::start("127.0.0.1:0".parse().unwrap(), target).unwrap();
            entry["address"] = json!(link.address().to_string());
            store.put(&upstream.key(), &entry);
            links.push(link);
            upstreams.push(upstream);
        }
        let mut vms = Vec::new();
        for (number, data_centre) in ["one", "two"].into_iter().enumerate() {
            let vm_name = format!("{name}-{number}-{}", std::process::id());
            let vm = Vm::start_with_settings(store.address(), &vm_name, |settings| {
                settings["upstream_source"] = json!(source_address(number));
                settings["data_centre"] = json!(data_centre);
                settings["regions"] = json!({"one": "near", "two": "far"});
            });
            wait_until("the daemon is ready", || vm.is_ready());
            let event = ["lead_taken", "leader_followed"][number];
            wait_until("it has its role", || !vm.log_lines(event).is_empty());
            vms.push(vm);
        }
        // Each VM learns how to reach the other.
        thread::sleep(Duration::from_secs(3));
        Self {
            _store: store,
            upstreams,
            links,
            vms,
        }
    }

    fn set_links(
        &self,
        mode: Option<Fault>,
    ) {
        for link in &self.links {
            link.set_mode_for(source_address(0), mode);
        }
    }

    fn set_default(
        &self,
        behaviour: &Behaviour,
    ) {
        for upstream in &self.upstreams {
            upstream.set_default(behaviour.clone());
        }
    }

    fn wait_for_lost_links(&self) {
        wait_until("the links count as lost", || {
            !self.vms[0].log_lines("links_lost").is_empty()
        });
    }
}

#[test]
fn a_silent_call_through_the_only_relay_is_answered() {
    // Guards against giving a silent upstream up for another one that can't be reached, as the relay counts as failed.
    let site = Site::start("regional-relay", |_| {});
    site.set_links(Some(Fault::Refuse));
    // Begins the test of the links.
    site.vms[0].send_request(&Request::new("GET", "/read/"));
    site.wait_for_lost_links();
    wait_until("calls are relayed", || {
        site.vms[0]
            .send_request(&Request::new("GET", "/read/"))
            .status
            == 200
    });
    site.set_default(&Behaviour::Slow(Duration::from_secs(2)));
    let response = site.vms[0].send_request(&Request::new("GET", "/read/"));
    let log = site.vms[0].log();
    assert_eq!(
        (response.status, response.text()),
        (200, "slow".to_owned()),
        "{log}"
    );
}

#[test]
fn a_silent_stream_stays_where_only_a_relay_outside_of_its_regions_is_left() {
    // Guards against giving a silent upstream up for a VM that may not relay the request.
    let site = Site::start("regional-regions", |config| {
        for route in config["routes"].as_array_mut().unwrap() {
            route["allowed_regions"] = json!(["near"]);
        }
    });
    site.set_default(&Behaviour::Pauses(EVENTS, Duration::from_millis(600)));
    let bytes = Request::new("POST", "/stream/").body(b"prompt").bytes();
    let callers = site.vms[0].callers;
    let call = thread::spawn(move || deployment::exchange(callers, &bytes));
    wait_until("it runs", || {
        site.upstreams
            .iter()
            .any(|upstream| !upstream.executed().is_empty())
    });
    thread::sleep(Duration::from_millis(100));
    site.set_links(Some(Fault::Cut));
    site.wait_for_lost_links();
    thread::sleep(Duration::from_millis(1_500));
    site.set_links(None);
    let response = call.join().unwrap().expect("a response");
    let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
    let log = site.vms[0].log();
    assert!(
        response.is_complete && ids.iter().copied().eq(1..=EVENTS),
        "{ids:?}\n{log}"
    );
}
