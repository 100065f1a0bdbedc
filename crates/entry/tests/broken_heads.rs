//! Upstreams whose connections end anywhere in the head of an answer.

mod deployment;

use {
    deployment::{Request, Vm, config, wait_until},
    jasmine_platform_stand_in::{Behaviour, EngineStandIn, KvStandIn, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault, Link, Proxy},
    serde_json::{Value, json},
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// The address from which the VM without links connects.
const CUT_OFF: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 21));
/// Step from one place of the end to the next, in bytes.
const STEP: usize = 5;
const TARGETS: [&str; 4] = ["/write/", "/read/", "/once/", "/stream/"];

/// An upstream behind a proxy that can end its answers.
struct Site {
    store: KvStandIn,
    upstream: UpstreamStandIn,
    link: Proxy,
    /// Answers the probes by which a VM tells whether its links work.
    _engine: EngineStandIn,
    engine_link: Proxy,
}

/// Registers an upstream behind a proxy.
fn register(
    store: &KvStandIn,
    key: &str,
    mut entry: Value,
) -> Proxy {
    let target = entry["address"].as_str().unwrap().parse().unwrap();
    let link = Proxy::start(SocketAddr::from(([127, 0, 0, 1], 0)), target).unwrap();
    entry["address"] = json!(link.address().to_string());
    store.put(key, &entry);
    link
}

impl Site {
    fn start() -> Self {
        let store = KvStandIn::start().unwrap();
        store.put("op/config", &config(1));
        let upstream = UpstreamStandIn::start("s-1").unwrap();
        let link = register(
            &store,
            &upstream.key(),
            upstream.entry("app", "one", "ready"),
        );
        let engine = EngineStandIn::start("e-1").unwrap();
        let engine_link = register(&store, &engine.key(), engine.entry("llm", "one"));
        Self {
            store,
            upstream,
            link,
            _engine: engine,
            engine_link,
        }
    }

    /// Ends each answer of all routes after each number of bytes, and checks that none looks whole.
    fn end_in_heads(
        &self,
        vm: &Vm,
    ) {
        for target in TARGETS {
            let is_stream = ["/once/", "/stream/"].contains(&target);
            self.upstream.set_default(if is_stream {
                Behaviour::Events(3)
            } else {
                Behaviour::Answer(b"a whole answer".to_vec())
            });
            let request = || Request::new("POST", target).body(b"prompt");
            self.link.set_mode(Fault::Pass);
            // The upstream rests for a moment after it has broken off answers.
            let mut head_bytes = 0;
            wait_until("it answers", || {
                let response = vm.send_request(&request());
                head_bytes = response.head.len();
                response.status == 200 && response.is_complete
            });
            for close_after in (1..=head_bytes as u64).step_by(STEP) {
                self.link.set(Link {
                    close_after: Some(close_after),
                    ..Link::default()
                });
                let arrived = self.upstream.arrivals().len();
                wait_until("the request is sent", || {
                    let response = vm.send_raw(&request().bytes());
                    let is_whole = response
                        .as_ref()
                        .is_some_and(|it| it.status == 200 && it.is_complete);
                    assert!(
                        !is_whole,
                        "{target} ended after {close_after}: {response:?}"
                    );
                    self.upstream.arrivals().len() > arrived
                });
            }
        }
    }
}

#[test]
fn half_heads_are_no_answers() {
    // Guards against a whole 200 for an answer whose upstream stopped in the middle of its head.
    let site = Site::start();
    let vm = Vm::start(&site.store);
    site.end_in_heads(&vm);
}

#[test]
fn relayed_half_heads_are_no_answers() {
    // Guards against the same behind another VM.
    let site = Site::start();
    let _relay = Vm::start(&site.store);
    let name = format!("half-heads-{}", std::process::id());
    let vm = Vm::start_with_settings(site.store.address(), &name, |settings| {
        settings["upstream_source"] = json!(CUT_OFF);
    });
    wait_until("it follows", || !vm.log_lines("leader_followed").is_empty());
    for link in [&site.link, &site.engine_link] {
        link.set_mode_for(CUT_OFF, Some(Fault::Reset));
    }
    wait_until("its requests are relayed", || {
        vm.send_request(&Request::new("GET", "/read/"));
        !vm.log_lines("request_relayed").is_empty()
    });
    site.end_in_heads(&vm);
    assert!(vm.log_lines("links_restored").is_empty());
}
