//! VMs before upstreams that end under chosen requests.

use {
    super::{Request, Vm, config, registrar::Registrar, start_vms},
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
pub const MAX_ENDS: usize = 3;
const UPSTREAMS: usize = 6;
/// Pause of a caller between its attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
const CALL_INTERVAL: Duration = Duration::from_millis(30);
/// The text in the bodies of requests under which upstreams end.
pub const DEADLY: &str = "deadly";
/// Number of events of a sound stream.
const EVENTS: u64 = 8;
/// Time between the events of an engine's answers.
const EVENT_GAP: Duration = Duration::from_millis(20);

static NEXT_BODY: AtomicU32 = AtomicU32::new(0);

/// The kinds of requests under which upstreams end.
#[derive(Clone, Copy)]
pub enum Kind {
    Call,
    /// A call that is sent once in each attempt of its caller.
    Write,
    Stream,
    /// A stream whose caller has its first event already.
    Resumption,
    Generation,
}

impl Kind {
    /// A request with this body.
    pub fn request(
        self,
        body: &str,
    ) -> Request {
        match self {
            Self::Call => Request::new("POST", "/read/x"),
            Self::Write => Request::new("POST", "/write/x"),
            Self::Stream => Request::new("POST", "/stream/x"),
            Self::Resumption => Request::new("POST", "/stream/x").with("Last-Event-Id", "1"),
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
    let hash = body.bytes().fold(17_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    });
    format!("{hash:x}")
}

/// A body that no other request has.
pub fn own_body() -> String {
    format!("sound-{}", NEXT_BODY.fetch_add(1, Ordering::Relaxed))
}

enum Upstreams {
    Plain(Arc<Vec<UpstreamStandIn>>),
    Engines(Arc<Vec<EngineStandIn>>),
}

fn end_one<U>(
    upstreams: &[U],
    number: usize,
    is_down: fn(&U) -> bool,
    end: fn(&U),
) {
    let upstream = &upstreams[number % upstreams.len()];
    if !is_down(upstream) {
        end(upstream);
    }
}

/// VMs before upstreams that end under requests with [`DEADLY`] in their bodies, and start again.
pub struct Site {
    pub store: Arc<KvStandIn>,
    upstreams: Upstreams,
    pub vms: Vec<Vm>,
    _registrar: Registrar,
}

impl Site {
    pub fn start(
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
            Kind::Call | Kind::Write | Kind::Stream | Kind::Resumption => {
                let plain = (0..UPSTREAMS).map(|number| {
                    let upstream = UpstreamStandIn::start(&format!("s-{number}")).unwrap();
                    upstream.end_under(DEADLY, at);
                    if let Kind::Stream | Kind::Resumption = kind {
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
            store,
            upstreams,
            vms,
            _registrar: registrar,
        }
    }

    /// Ends an upstream, whatever it runs, unless it is gone already.
    pub fn end(
        &self,
        number: usize,
    ) {
        match &self.upstreams {
            Upstreams::Plain(all) => {
                end_one(all, number, UpstreamStandIn::is_down, UpstreamStandIn::end);
            }
            Upstreams::Engines(all) => {
                end_one(all, number, EngineStandIn::is_down, EngineStandIn::end);
            }
        }
    }

    /// Sets how long a sound call, or the wait of a generation in the queue of its engine, takes.
    pub fn set_service_time(
        &self,
        time: Duration,
    ) {
        match &self.upstreams {
            Upstreams::Plain(all) => all
                .iter()
                .for_each(|one| one.set_default(Behaviour::Slow(time))),
            Upstreams::Engines(all) => all.iter().for_each(|one| one.set_queue_time(time)),
        }
    }

    /// Lets no upstream end any more.
    pub fn mend(&self) {
        match &self.upstreams {
            Upstreams::Plain(all) => all.iter().for_each(UpstreamStandIn::mend),
            Upstreams::Engines(all) => all.iter().for_each(EngineStandIn::mend),
        }
    }

    /// When upstreams ended, in order.
    pub fn ends(&self) -> Vec<Instant> {
        let ends = match &self.upstreams {
            Upstreams::Plain(all) => all.iter().flat_map(UpstreamStandIn::ends).collect(),
            Upstreams::Engines(all) => all.iter().flat_map(EngineStandIn::ends).collect::<Vec<_>>(),
        };
        let mut times: Vec<_> = ends.into_iter().map(|end| end.at).collect();
        times.sort();
        times
    }

    /// When attempts with these ids reached upstreams.
    pub fn arrivals(
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
    pub fn repeat(
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
    pub fn call_all(
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
    pub fn late_sends(
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
