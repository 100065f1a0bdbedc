//! Requests under which each upstream ends that takes them, sent again by their callers under other ids.

mod deployment;

use {
    deployment::{Request, Vm, config, registrar::Registrar, start_vms},
    jasmine_platform_stand_in::{Behaviour, EndAt, EngineStandIn, KvStandIn, UpstreamStandIn},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Ends of upstreams under a request from which it may not be sent again.
const MAX_ENDS: usize = 3;
const UPSTREAMS: usize = 6;
/// Pause of a caller between its attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
const CALL_INTERVAL: Duration = Duration::from_millis(30);
/// The text in the bodies of requests under which upstreams end.
const DEADLY: &str = "deadly";
/// Number of events of a sound stream.
const EVENTS: u64 = 8;
/// Time between the events of an engine's answers.
const EVENT_GAP: Duration = Duration::from_millis(20);

static NEXT_BODY: AtomicU32 = AtomicU32::new(0);

/// The kinds of requests under which upstreams end.
#[derive(Clone, Copy)]
enum Kind {
    Call,
    Stream,
    Generation,
}

impl Kind {
    /// A request with this body.
    fn request(
        self,
        body: &str,
    ) -> Request {
        match self {
            Self::Call => Request::new("POST", "/read/x"),
            Self::Stream => Request::new("POST", "/stream/x"),
            Self::Generation => Request::new("POST", "/model/x")
                .with("X-Model", "base")
                .with("X-Token-Counts", "150,10")
                .with("X-Prompt-Prefix", &format!("f1:50,{}:100", own_part(body))),
        }
        .with("X-Deadline-Ms", "2500")
        .body(body.as_bytes())
    }
}

/// The part of a prompt that belongs to one request.
fn own_part(body: &str) -> String {
    body.bytes().map(|byte| format!("{byte:02x}")).collect()
}

/// A body that no other request has.
fn own_body() -> String {
    format!("sound-{}", NEXT_BODY.fetch_add(1, Ordering::Relaxed))
}

enum Upstreams {
    Plain(Arc<Vec<UpstreamStandIn>>),
    Engines(Arc<Vec<EngineStandIn>>),
}

/// VMs before upstreams that end under requests with [`DEADLY`] in their bodies, and start again.
struct Site {
    _store: Arc<KvStandIn>,
    upstreams: Upstreams,
    vms: Vec<Vm>,
    _registrar: Registrar,
}

impl Site {
    fn start(
        kind: Kind,
        at: EndAt,
        name: &str,
    ) -> Self {
        let store = Arc::new(KvStandIn::start().unwrap());
        store.put("op/config", &config(1));
        let (upstreams, registrar) = match kind {
            Kind::Generation => {
                let engines = (0..UPSTREAMS).map(|number| {
                    let engine = EngineStandIn::start(&format!("e-{number}")).unwrap();
                    engine.set_event_gap(EVENT_GAP);
                    engine.end_under(DEADLY, at);
                    store.put(&engine.key(), &engine.entry("llm", "one"));
                    engine
                });
                let engines = Arc::new(engines.collect());
                let registrar = Registrar::start(&store, &engines);
                (Upstreams::Engines(engines), registrar)
            }
            Kind::Call | Kind::Stream => {
                let plain = (0..UPSTREAMS).map(|number| {
                    let upstream = UpstreamStandIn::start(&format!("s-{number}")).unwrap();
                    upstream.end_under(DEADLY, at);
                    if let Kind::Stream = kind {
                        upstream.set_default(Behaviour::Events(EVENTS));
                    }
                    store.put(&upstream.key(), &upstream.entry("app", "one", "ready"));
                    upstream
                });
                let plain = Arc::new(plain.collect());
                let registrar = Registrar::start(&store, &plain);
                (Upstreams::Plain(plain), registrar)
            }
        };
        let vms = start_vms(&store, name);
        Self {
            _store: store,
            upstreams,
            vms,
            _registrar: registrar,
        }
    }

    /// When upstreams ended, in order.
    fn ends(&self) -> Vec<Instant> {
        let ends = match &self.upstreams {
            Upstreams::Plain(all) => all.iter().flat_map(UpstreamStandIn::ends).collect(),
            Upstreams::Engines(all) => all.iter().flat_map(EngineStandIn::ends).collect::<Vec<_>>(),
        };
        let mut times: Vec<_> = ends.into_iter().map(|end| end.at).collect();
        times.sort();
        times
    }

    /// When attempts with these ids reached upstreams.
    fn arrivals(
        &self,
        ids: &[String],
    ) -> Vec<Instant> {
        let arrived: Vec<_> = match &self.upstreams {
            Upstreams::Plain(all) => {
                let arrived = all.iter().flat_map(UpstreamStandIn::arrivals);
                arrived.map(|it| (it.at, it.request_id)).collect()
            }
            Upstreams::Engines(all) => {
                let arrived = all.iter().flat_map(EngineStandIn::arrivals);
                arrived.map(|it| (it.at, it.request_id)).collect()
            }
        };
        let own = arrived.into_iter().filter(|(_, id)| ids.contains(id));
        own.map(|(at, _)| at).collect()
    }

    /// A caller sends a request to one VM after the other for a while; returns the ids of its attempts.
    fn repeat(
        &self,
        request: &Request,
        time: Duration,
    ) -> Vec<String> {
        let until = Instant::now() + time;
        let mut ids = Vec::new();
        for vm in self.vms.iter().cycle() {
            if Instant::now() >= until {
                break;
            }
            let id = format!("{}-{}", request.id(), ids.len());
            vm.send_raw(&request.clone().with("X-Request-Id", &id).bytes());
            ids.push(id);
            thread::sleep(RETRY_INTERVAL);
        }
        ids
    }

    /// Sends requests with bodies of their own through all VMs for a while; returns when each was sent and whether it
    /// was served.
    fn call_all(
        &self,
        kind: Kind,
        time: Duration,
    ) -> Vec<(Instant, bool)> {
        let until = Instant::now() + time;
        let call = |vm: &Vm| {
            let mut calls = Vec::new();
            while Instant::now() < until {
                let sent = Instant::now();
                let response = vm.send_raw(&kind.request(&own_body()).bytes());
                let is_served = response.is_some_and(|it| it.status == 200 && it.is_complete);
                calls.push((sent, is_served));
                thread::sleep(CALL_INTERVAL);
            }
            calls
        };
        thread::scope(|scope| {
            let callers: Vec<_> = self
                .vms
                .iter()
                .map(|vm| scope.spawn(move || call(vm)))
                .collect();
            let calls = callers.into_iter();
            calls.flat_map(|caller| caller.join().unwrap()).collect()
        })
    }

    /// How often a request was sent after the third upstream had ended under it.
    fn late_sends(
        &self,
        ids: &[String],
    ) -> usize {
        let ends = self.ends();
        let Some(&third) = ends.get(MAX_ENDS - 1) else {
            return 0;
        };
        let arrived = self.arrivals(ids);
        arrived.iter().filter(|&&at| at > third).count()
    }
}

/// A request under which upstreams end at this point, beside sound ones: it isn't sent again after the third.
fn assert_contained(
    kind: Kind,
    at: EndAt,
    name: &str,
) {
    let site = Site::start(kind, at, name);
    let time = Duration::from_secs(9);
    let request = kind.request(DEADLY);
    let (ids, sound) = thread::scope(|scope| {
        let sound = scope.spawn(|| site.call_all(kind, time));
        (site.repeat(&request, time), sound.join().unwrap())
    });
    let (late, ends) = (site.late_sends(&ids), site.ends().len());
    let served = sound.iter().filter(|(_, is_served)| *is_served).count();
    println!(
        "{name}: {ends} ends, {late} late of {} attempts, {served} of {} sound",
        ids.len(),
        sound.len()
    );
    if std::env::var_os("JASMINE_SHOW_LOGS").is_some() {
        for vm in &site.vms {
            println!("--- {}\n{}", vm.name, vm.log());
        }
    }
    assert_eq!(late, 0, "sent after {MAX_ENDS} ends; {ends} ended");
}

#[test]
fn calls_end_few_upstreams_before_a_head() {
    // Guards against a request that its caller repeats under other ids, and under which each upstream ends.
    assert_contained(Kind::Call, EndAt::Head, "call-head");
}

#[test]
fn calls_end_few_upstreams_in_a_body() {
    // Guards against the same in the middle of an answer with a length.
    assert_contained(Kind::Call, EndAt::Body, "call-body");
}

#[test]
fn streams_end_few_upstreams_after_events() {
    // Guards against the same in streams that other upstreams go on with.
    assert_contained(Kind::Stream, EndAt::Events(2), "stream-events");
}

#[test]
fn streams_end_few_upstreams_late() {
    // Guards against the same long after the begin of an answer.
    let late = EndAt::Late(Duration::from_millis(1_200));
    assert_contained(Kind::Stream, late, "stream-late");
}

#[test]
fn generations_end_few_engines_before_a_head() {
    // Guards against the same at engines, which show nothing of the prompt.
    assert_contained(Kind::Generation, EndAt::Head, "model-head");
}

#[test]
fn generations_end_few_engines_late() {
    // Guards against the same where the begin of the answer acquits the prompt's parts.
    let late = EndAt::Late(Duration::from_millis(1_200));
    assert_contained(Kind::Generation, late, "model-late");
}
