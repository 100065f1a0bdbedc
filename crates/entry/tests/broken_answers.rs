//! Upstreams in trouble whose answers are no HTTP responses, or claim what no response can.

mod deployment;

use {
    deployment::{Request, Response, Vm, config, count_runs, source_address, wait_until},
    jasmine_platform_stand_in::{Behaviour, EngineStandIn, KvStandIn, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault, Link, Proxy, Rewrite},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// What the sound upstream answers.
const BODY: &str = "a whole answer";
const EVENTS: u64 = 3;
/// The VM that reaches its upstreams through another one.
const CUT_OFF: usize = 1;
/// How long reports and orders are broken.
const BROKEN_TIME: Duration = Duration::from_secs(2);

/// Requests for plain answers and for streams, repeatable and not.
const CALLS: [(&str, &str); 5] = [
    ("GET", "/read/"),
    ("POST", "/write/"),
    ("HEAD", "/read/"),
    ("POST", "/once/"),
    ("POST", "/stream/"),
];
const STREAMS: [(&str, &str); 2] = [("POST", "/once/"), ("POST", "/stream/")];

/// The platform, with upstreams of which the first one's answers can be changed.
struct Site {
    store: KvStandIn,
    upstreams: Vec<UpstreamStandIn>,
    links: Vec<Proxy>,
    /// Answers the probes by which a VM tells whether its links work.
    _engine: EngineStandIn,
    engine_link: Proxy,
}

fn proxy(target: SocketAddr) -> Proxy {
    Proxy::start(SocketAddr::from(([127, 0, 0, 1], 0)), target).unwrap()
}

/// Registers an upstream behind a proxy.
fn register(
    store: &KvStandIn,
    key: &str,
    mut entry: Value,
) -> Proxy {
    let link = proxy(entry["address"].as_str().unwrap().parse().unwrap());
    entry["address"] = json!(link.address().to_string());
    store.put(key, &entry);
    link
}

impl Site {
    fn start(names: &[&str]) -> Self {
        let store = KvStandIn::start().unwrap();
        store.put("op/config", &config(1));
        let upstreams: Vec<_> = names
            .iter()
            .map(|name| UpstreamStandIn::start(name).unwrap())
            .collect();
        let links = upstreams.iter().map(|upstream| {
            upstream.set_default(Behaviour::Answer(BODY.into()));
            register(
                &store,
                &upstream.key(),
                upstream.entry("app", "one", "ready"),
            )
        });
        let links = links.collect();
        let engine = EngineStandIn::start("e-1").unwrap();
        let engine_link = register(&store, &engine.key(), engine.entry("llm", "one"));
        Self {
            store,
            upstreams,
            links,
            _engine: engine,
            engine_link,
        }
    }

    /// Waits until the upstream, which rests for a moment after broken answers, is used again.
    fn wait_served(
        &self,
        vm: &Vm,
        (method, target): (&'static str, &str),
    ) {
        self.links[0].set_rewrite(None);
        wait_until("it is served", || {
            let response = vm.send_request(&request(method, target));
            response.status == 200 && (method == "HEAD" || response.is_complete)
        });
    }

    /// Sends a request to an upstream whose answers are changed, until it gets there.
    fn send_to_broken(
        &self,
        vm: &Vm,
        (method, target): (&'static str, &str),
        rewrite: &Rewrite,
    ) -> (Request, Response) {
        self.links[0].set_rewrite(Some(rewrite.clone()));
        let began = Instant::now();
        loop {
            let request = request(method, target);
            let response = vm.send_request(&request);
            if count_runs(&self.upstreams, request.id()) > 0 {
                return (request, response);
            }
            assert!(began.elapsed() < deployment::TIMEOUT, "{response:?}");
        }
    }

    /// Asserts that a changed answer is rejected, that its request isn't repeated unless it may be, and that its
    /// connection isn't used again.
    fn assert_rejected(
        &self,
        vm: &Vm,
        call: (&'static str, &str),
        (from, to): (&str, &str),
    ) {
        self.wait_served(vm, call);
        let (request, response) = self.send_to_broken(vm, call, &Rewrite::new(from, to));
        let case = format!("{call:?} {to:?}: {response:?}");
        assert_eq!(response.status, 502, "{case}");
        assert_eq!(response.header("X-Server-Seal"), None, "{case}");
        assert!(!response.text().contains("forged"), "{case}");
        if call.1 != "/read/" && call.1 != "/stream/" {
            assert_eq!(count_runs(&self.upstreams, request.id()), 1, "{case}");
        }
        let connections = self.upstreams[0].connections();
        self.wait_served(vm, call);
        assert!(self.upstreams[0].connections() > connections, "{case}");
    }

    /// Asserts it for each change with one kind of request in turn, and for the first one with all kinds.
    fn assert_all_rejected(
        &self,
        vm: &Vm,
        changes: &[(&str, &str)],
    ) {
        let (first, others) = changes.split_first().unwrap();
        let all = CALLS.map(|call| (call, first));
        let turns = CALLS.into_iter().cycle().zip(others);
        for (call, &change) in all.into_iter().chain(turns) {
            let is_stream = ["/once/", "/stream/"].contains(&call.1);
            self.upstreams[0].set_default(if is_stream {
                Behaviour::Events(EVENTS)
            } else {
                Behaviour::Answer(BODY.into())
            });
            self.assert_rejected(vm, call, change);
        }
    }
}

fn request(
    method: &'static str,
    target: &str,
) -> Request {
    match method {
        "POST" => Request::new(method, target).body(b"prompt"),
        // The caller reads up to the end of the connection, as it takes the length for that of a body.
        "HEAD" => Request::new(method, target).with("Connection", "close"),
        _ => Request::new(method, target),
    }
}

/// Status codes of no class, and what is no code.
const STATUSES: [(&str, &str); 11] = [
    ("HTTP/1.1 200", "HTTP/1.1 000"),
    ("HTTP/1.1 200", "HTTP/1.1 001"),
    ("HTTP/1.1 200", "HTTP/1.1 042"),
    ("HTTP/1.1 200", "HTTP/1.1 099"),
    ("HTTP/1.1 200", "HTTP/1.1 600"),
    ("HTTP/1.1 200", "HTTP/1.1 999"),
    ("HTTP/1.1 200", "HTTP/1.1 1000"),
    ("HTTP/1.1 200", "HTTP/1.1 20"),
    ("HTTP/1.1 200", "HTTP/1.1 -20"),
    ("HTTP/1.1 200", "HTTP/1.1"),
    ("HTTP/1.1 200", "HTTP/2.0 200"),
];

/// Lines that are no header lines.
const LINES: [(&str, &str); 10] = [
    ("X-Server-Seal: ", "X-Odd : a\r\nX-Server-Seal: "),
    ("X-Server-Seal: ", "X-Odd\t: a\r\nX-Server-Seal: "),
    ("X-Server-Seal: ", "X Odd: a\r\nX-Server-Seal: "),
    ("X-Server-Seal: ", "X\x01Odd: a\r\nX-Server-Seal: "),
    ("X-Server-Seal: ", "X\x7fOdd: a\r\nX-Server-Seal: "),
    ("X-Server-Seal: ", ": a\r\nX-Server-Seal: "),
    ("X-Server-Seal: ", "X-Odd: a\x01\r\nX-Server-Seal: "),
    ("X-Server-Seal: ", "X-Odd: a\r\n b\r\nX-Server-Seal: "),
    ("X-Server-Seal: ", "X-Odd: a\nX-Server-Seal: "),
    ("X-Server-Seal: ", "X-Odd\r\nX-Server-Seal: "),
];

#[test]
fn statuses_of_no_class() {
    // Guards against an answer with status 000, which no client can read.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    site.assert_all_rejected(&vm, &STATUSES);
    wait_until("the log tells why", || {
        let lines = vm.log_lines("answer_rejected");
        lines
            .iter()
            .any(|line| line.contains(r#"reason="status 000, expected 100 to 599""#))
    });
}

#[test]
fn lines_that_are_no_headers() {
    // Guards against an answer with a blank or a control character in the name of a header.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    site.assert_all_rejected(&vm, &LINES);
}

#[test]
fn bytes_before_a_head() {
    // Guards against an answer that doesn't begin with its status line.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    site.assert_all_rejected(&vm, &[("HTTP/1.1 200", "\r\nHTTP/1.1 200")]);
}

#[test]
fn interim_responses_with_a_body() {
    // Guards against the body of an interim response that is taken for the answer.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    let forged = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nContent-Length: 6\r\n\r\nforged";
    let head = format!(
        "HTTP/1.1 103 Early Hints\r\nContent-Length: {}",
        forged.len()
    );
    let with_length = format!("{head}\r\n\r\n{forged}HTTP/1.1 200");
    let chunked = format!(
        "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n{forged}HTTP/1.1 200"
    );
    site.assert_all_rejected(
        &vm,
        &[("HTTP/1.1 200", &with_length), ("HTTP/1.1 200", &chunked)],
    );
}

#[test]
fn switches_to_other_protocols() {
    // Guards against reading on as HTTP after an answer that says that something else follows.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    let switched = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200";
    site.assert_all_rejected(&vm, &[("HTTP/1.1 200", switched)]);
}

#[test]
fn sound_interim_responses() {
    // Guards against bounds that sound upstreams exceed.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    for interim in [
        "100 Continue\r\nContent-Length: 0",
        "103 Early Hints\r\nLink: a",
    ] {
        let to = format!("HTTP/1.1 {interim}\r\n\r\nHTTP/1.1 200");
        site.links[0].set_rewrite(Some(Rewrite::new("HTTP/1.1 200", &to)));
        for _ in 0..3 {
            let response = vm.send_request(&request("POST", "/write/"));
            assert_eq!(
                (response.status, response.text().as_str()),
                (200, BODY),
                "{interim}"
            );
        }
    }
    assert_eq!(site.upstreams[0].connections(), 1);
}

#[test]
fn lengths_without_a_body() {
    // Guards against a length that is none in an answer to a HEAD request, which the caller gets as it is.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    for to in [
        "Content-Length: 14, 14",
        "Content-Length: -14",
        "Content-Length: 14\r\nContent-Length: 14",
        "Transfer-Encoding: chunked\r\nContent-Length: 14",
        "Transfer-Encoding: gzip",
    ] {
        site.assert_rejected(&vm, ("HEAD", "/read/"), ("Content-Length: 14", to));
    }
}

#[test]
fn chunks_of_an_older_version() {
    // Guards against a transfer coding in a version that has none, where peers disagree on the end of the body.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    site.upstreams[0].set_default(Behaviour::Events(EVENTS));
    for call in STREAMS {
        site.assert_rejected(&vm, call, ("HTTP/1.1 200", "HTTP/1.0 200"));
    }
}

#[test]
fn trailers_and_chunk_lines() {
    // Guards against an answer that counts as whole though what ends it is no trailer, or no chunk line.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    site.upstreams[0].set_default(Behaviour::Events(EVENTS));
    for (from, to) in [
        ("0\r\n\r\n", "0\r\nX Odd: a\r\n\r\n"),
        ("0\r\n\r\n", "0\r\nX-Odd : a\r\n\r\n"),
        ("0\r\n\r\n", "0\r\nno trailer\r\n\r\n"),
        ("0\r\n\r\n", "0\r\nX-Odd: a\x01\r\n\r\n"),
        ("0\r\n\r\n", "0;\x01\r\n\r\n"),
        ("0\r\n\r\n", "0 \r\n\r\n"),
        ("0\r\n\r\n", "0\n\r\n"),
    ] {
        for call in [("POST", "/once/"), ("POST", "/write/")] {
            site.wait_served(&vm, call);
            let (request, response) = site.send_to_broken(&vm, call, &Rewrite::new(from, to));
            let case = format!("{call:?} {to:?}: {response:?}");
            match call.1 {
                "/once/" => assert!(!response.is_complete, "{case}"),
                _ => assert_eq!(response.status, 502, "{case}"),
            }
            assert_eq!(count_runs(&site.upstreams, request.id()), 1, "{case}");
        }
    }
    for to in ["0\r\nX-Odd: a\r\n\r\n", "0;a=\"b c\"\r\n\r\n"] {
        site.links[0].set_rewrite(Some(Rewrite::new("0\r\n\r\n", to)));
        wait_until("sound ones are read", || {
            let response = vm.send_request(&request("POST", "/once/"));
            response.is_complete && response.events().len() == EVENTS as usize
        });
    }
}

#[test]
fn heads_in_single_bytes() {
    // Guards against a head that is checked as far as one read has it, on a new connection or behind a sound answer.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    site.links[0].set(Link {
        piece_bytes: Some(1),
        ..Link::default()
    });
    site.assert_all_rejected(&vm, &[STATUSES[0], LINES[0], LINES[3], LINES[8]]);
}

#[test]
fn second_answers_of_a_connection() {
    // Guards against a broken answer that counts as its connection has carried a sound one.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    for (from, to) in [STATUSES[0], STATUSES[4], LINES[0], LINES[3]] {
        let call = ("POST", "/write/");
        // A connection that was idle for long is not used for such a call.
        wait_until("it is sent on a kept connection", || {
            site.wait_served(&vm, call);
            let connections = site.upstreams[0].connections();
            let (_, response) = site.send_to_broken(&vm, call, &Rewrite::new(from, to));
            assert_eq!(response.status, 502, "{to:?}: {response:?}");
            site.upstreams[0].connections() == connections
        });
    }
}

#[test]
fn another_upstream_answers() {
    // Guards against an error for a request that another upstream could have answered, and against a second run of one
    // that may not be repeated.
    for (from, to) in [STATUSES[0], STATUSES[4], LINES[0]] {
        let site = Site::start(&["s-1", "s-2"]);
        let vm = Vm::start(&site.store);
        let rewrite = Rewrite::new(from, to);
        let mut broken = 0;
        wait_until("the broken one is met", || {
            site.links[broken].set_rewrite(None);
            broken = 1 - broken;
            site.links[broken].set_rewrite(Some(rewrite.clone()));
            let read = request("GET", "/read/");
            let response = vm.send_request(&read);
            assert_eq!(
                (response.status, response.text().as_str()),
                (200, BODY),
                "{to:?}"
            );
            count_runs(&site.upstreams, read.id()) == 2
        });
        for link in &site.links {
            link.set_rewrite(Some(rewrite.clone()));
        }
        let write = request("POST", "/write/");
        let response = vm.send_request(&write);
        let runs = count_runs(&site.upstreams, write.id());
        assert_eq!((response.status, runs), (502, 1), "{to:?}: {response:?}");
    }
}

#[test]
fn relayed_answers() {
    // Guards against a broken answer that one VM passes on to another one, or for which the other sends it again.
    let site = Site::start(&["s-1"]);
    let start = |number: usize| {
        let name = format!("broken-answers-{number}-{}", std::process::id());
        let vm = Vm::start_with_settings(site.store.address(), &name, |settings| {
            settings["upstream_source"] = json!(source_address(number));
        });
        wait_until("the daemon is ready", || vm.is_ready());
        vm
    };
    let _relay = start(0);
    let vm = start(CUT_OFF);
    wait_until("it follows", || !vm.log_lines("leader_followed").is_empty());
    for link in [&site.links[0], &site.engine_link] {
        link.set_mode_for(source_address(CUT_OFF), Some(Fault::Reset));
    }
    wait_until("its requests are relayed", || {
        vm.send_request(&Request::new("GET", "/read/"));
        !vm.log_lines("request_relayed").is_empty()
    });
    site.wait_served(&vm, CALLS[0]);
    let failed_before = vm.log_lines("attempt_failed").len();
    site.assert_all_rejected(&vm, &[STATUSES[0], STATUSES[4], LINES[0], LINES[3]]);
    assert!(vm.log_lines("links_restored").is_empty());
    // As an answer on its own links: the upstream has failed, and has not ended under the request.
    let failed = vm.log_lines("attempt_failed").split_off(failed_before);
    let expected = "outcome=Lost broken=false ended=false";
    let unlike = failed.iter().find(|line| !line.contains(expected));
    assert_eq!(unlike, None);
}

#[test]
fn engines_answers() {
    // Guards against reports, answers to orders and generations that are believed though they are no answers.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    wait_until("it leads", || !vm.log_lines("lead_taken").is_empty());
    let generation = || {
        Request::new("POST", "/model/")
            .with("X-Model", "base/a1")
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "c1:50,c2:50")
            .with("X-Deadline-Ms", "1000")
            .body(b"prompt")
    };
    let is_served = || vm.send_request(&generation()).status == 200;
    for (from, to) in [STATUSES[0], STATUSES[4], LINES[0], LINES[3]] {
        site.engine_link.set_rewrite(None);
        wait_until("a generation is answered", is_served);
        site.engine_link.set_rewrite(Some(Rewrite::new(from, to)));
        let until = Instant::now() + BROKEN_TIME;
        while Instant::now() < until {
            let response = vm.send_request(&generation());
            let is_error = [502, 503, 504].contains(&response.status);
            assert!(is_error, "{to:?}: {response:?}");
            assert_eq!(response.header("X-Server-Seal"), None, "{to:?}");
            thread::sleep(Duration::from_millis(50));
        }
    }
    site.engine_link.set_rewrite(None);
    wait_until("a generation is answered", is_served);
}

#[test]
fn reports_of_failed_reads() {
    // Guards against the state of an engine that is taken from the body of an error.
    let site = Site::start(&["s-1"]);
    let vm = Vm::start(&site.store);
    let change = Rewrite::new("HTTP/1.1 200", "HTTP/1.1 500");
    site.engine_link.set_rewrite(Some(change));
    wait_until("a report is rejected", || {
        let lines = vm.log_lines("report_unreadable");
        lines.iter().any(|line| line.contains("status=500"))
    });
}

#[test]
fn stores_answers() {
    // Guards against a configuration that is read from what is no answer of the store.
    let site = Site::start(&["s-1"]);
    let link = proxy(site.store.address());
    let name = format!("broken-store-{}", std::process::id());
    let vm = Vm::start_with_store(link.address(), &name);
    wait_until("the daemon is ready", || vm.is_ready());
    for (version, (from, to)) in
        (2..).zip([STATUSES[0], STATUSES[4], ("\r\n", "\r\nX-Odd : a\r\n")])
    {
        link.set_rewrite(Some(Rewrite::new(from, to)));
        let path = format!("/moved-{version}/");
        site.store
            .put("op/config", &deployment::moved_config(version, &path));
        let until = Instant::now() + BROKEN_TIME;
        while Instant::now() < until {
            assert!(!deployment::serves_path(&vm, &path), "{to:?}");
            thread::sleep(Duration::from_millis(50));
        }
        link.set_rewrite(None);
        wait_until("the next answer is read", || {
            deployment::serves_path(&vm, &path)
        });
    }
}
