//! A model server with one base model and a few places for adapters.

use {
    crate::http::{Connection, Life, Request, answer, serve_with_life},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Places for adapters, as the configuration says.
const ADAPTER_SLOTS: usize = 5;

/// What is told of a load beyond its places, which would crash it.
pub const BEYOND_PLACES: &str = "is ordered to load beyond its places";

/// How it sends streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// In chunks.
    Chunked,
    /// Without a length: the stream ends with the connection.
    UntilClose,
}

/// What an engine does.
#[derive(Clone, Debug)]
pub struct Conduct {
    /// Time to load an adapter, by the number of the load.
    pub load_times: Vec<Duration>,
    /// Time to the first event.
    pub first_event: Duration,
    /// Time between events.
    pub gap: Duration,
    /// Number of events of a stream.
    pub events: u64,
    pub framing: Framing,
    /// Time until it answers an order.
    pub order: Duration,
}

impl Default for Conduct {
    fn default() -> Self {
        Self {
            load_times: vec![Duration::from_millis(250)],
            first_event: Duration::from_millis(120),
            gap: Duration::from_millis(20),
            events: 11,
            framing: Framing::Chunked,
            order: Duration::ZERO,
        }
    }
}

#[derive(Default)]
struct State {
    life: u64,
    seq: u64,
    fence: u64,
    loads: usize,
    /// Accepted loads beyond the places for adapters.
    over_capacity: u64,
    /// Adapters, and when each can be used.
    adapters: Vec<(String, Instant)>,
}

/// A model server.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub life: Life,
    begun: Arc<AtomicU64>,
}

/// What is told of the requests of an engine.
pub trait Watch: Fn(&str, &str, &str) + Clone + Send + 'static {}
impl<F> Watch for F where F: Fn(&str, &str, &str) + Clone + Send + 'static {}

impl Engine {
    /// Starts an engine. `watch` is told its id, what has happened (`arrived`, `ran`, `not run`, `second answer`) and
    /// the id of the request. `spoils` tells which answers come twice, the second time late.
    pub fn start<W, S>(
        id: &str,
        conduct: Conduct,
        watch: W,
        spoils: S,
    ) -> Self
    where
        W: Watch,
        S: Fn(u16) -> bool + Clone + Send + 'static,
    {
        let state = Arc::new(Mutex::new(State::default()));
        let name = id.to_owned();
        let life = Life::default();
        let known = life.clone();
        let begun = Arc::<AtomicU64>::default();
        let counted = Arc::clone(&begun);
        let address = serve_with_life(&life, move |connection, number| {
            {
                // It starts again empty.
                let mut state = state.lock().unwrap();
                if state.life < number {
                    *state = State {
                        life: number,
                        ..State::default()
                    };
                }
            }
            let engine = Server {
                id: name.clone(),
                conduct: conduct.clone(),
                state: Arc::clone(&state),
                life: known.clone(),
                begun: Arc::clone(&counted),
            };
            engine.serve(connection, &watch, &spoils);
        });
        Self {
            id: id.to_owned(),
            address,
            life,
            begun,
        }
    }

    /// The number of streams that it has begun.
    pub fn begun(&self) -> u64 {
        self.begun.load(Ordering::SeqCst)
    }

    /// Its entry in the store.
    pub fn entry(&self) -> Value {
        json!({
            "service": "llm", "address": self.address.to_string(), "zone": "one", "version": "v1", "slots": 64,
            "state": "ready", "cold_remaining_ms": 0, "seq": 1, "stage": "hybrid",
            "born": 1_700_000_000_000_u64 + self.life.crashes(),
            "models": [{"name": "base", "version": 1, "adapters": []}],
        })
    }

    /// The key of its entry.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }
}

struct Server {
    id: String,
    conduct: Conduct,
    state: Arc<Mutex<State>>,
    life: Life,
    begun: Arc<AtomicU64>,
}

impl Server {
    fn serve<W, S>(
        &self,
        mut connection: Connection,
        watch: &W,
        spoils: &S,
    ) where
        W: Watch,
        S: Fn(u16) -> bool,
    {
        // A second answer comes where the answer to the next request is expected.
        let mut second: Option<(String, Vec<u8>)> = None;
        // The last answer to a request on this channel, with its id.
        let mut last: Option<(String, Vec<u8>)> = None;
        while let Some(req) = connection.request() {
            if let Some((of, bytes)) = second.take() {
                watch(&self.id, "second answer", &of);
                if !connection.send(&bytes) {
                    return;
                }
            }
            let path = req.target.split('?').next().unwrap_or_default();
            let is_sent = match path {
                "/-/order" => {
                    if let Some((of, bytes)) = last.take().filter(|_| spoils(0)) {
                        watch(&self.id, "second answer", &of);
                        if !connection.send(&bytes) {
                            return;
                        }
                    }
                    let (status, body) = self.order(&req);
                    let over = std::mem::take(&mut self.state.lock().unwrap().over_capacity);
                    if over > 0 {
                        watch(&self.id, BEYOND_PLACES, &String::from_utf8_lossy(&req.body));
                    }
                    thread::sleep(self.conduct.order);
                    watch(
                        &self.id,
                        &format!("order {status}"),
                        &String::from_utf8_lossy(&req.body),
                    );
                    connection.send(&answer(status, "", &body.to_string()))
                }
                "/-/report" => connection.send(&answer(200, "", &self.report().to_string())),
                "/healthz" => {
                    let headers = format!("X-Instance-Id: {}\r\n", self.id);
                    connection.send(&answer(200, &headers, ""))
                }
                _ => {
                    watch(&self.id, "arrived", req.id());
                    match self.refusal(&req) {
                        Some(status) => {
                            watch(&self.id, "not run", req.id());
                            let headers = format!(
                                "X-Request-Id: {}\r\nX-Instance-Id: {}\r\nX-Not-Executed: 1\r\n",
                                req.id(),
                                self.id
                            );
                            let bytes = answer(status, &headers, "");
                            if spoils(status) {
                                second = Some((req.id().to_owned(), bytes.clone()));
                            }
                            connection.send(&bytes)
                        }
                        None => {
                            let mut sent = Vec::new();
                            let is_open = self.run(&mut connection, &req, &mut sent, watch);
                            last = Some((req.id().to_owned(), sent));
                            is_open
                        }
                    }
                }
            };
            if !is_sent {
                return;
            }
        }
    }

    /// Why a request isn't run: another server is meant, or its adapter isn't loaded.
    fn refusal(
        &self,
        req: &Request,
    ) -> Option<u16> {
        let expected = req.header("x-expect-instance");
        let model = req.header("x-model");
        let is_held = match model.split_once('/') {
            None => true,
            Some((_, adapter)) => {
                let state = self.state.lock().unwrap();
                let now = Instant::now();
                state
                    .adapters
                    .iter()
                    .any(|(name, at)| name == adapter && *at <= now)
            }
        };
        (!expected.is_empty() && expected != self.id || !is_held).then_some(421)
    }

    fn run<W>(
        &self,
        connection: &mut Connection,
        req: &Request,
        sent: &mut Vec<u8>,
        watch: &W,
    ) -> bool
    where
        W: Watch,
    {
        watch(&self.id, "ran", req.id());
        let Conduct {
            first_event,
            gap,
            events,
            framing,
            ..
        } = self.conduct;
        if !connection.work(first_event) {
            watch(&self.id, "cancelled", req.id());
            return false;
        }
        self.begun.fetch_add(1, Ordering::SeqCst);
        let coding = match framing {
            Framing::Chunked => "Transfer-Encoding: chunked\r\n",
            Framing::UntilClose => "Connection: close\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {}\r\nX-Server-Seal: seal\r\n\
             X-Weight-Versions: 1\r\n{coding}\r\n",
            req.id()
        );
        let mut bytes = head.into_bytes();
        let after: u64 = req.header("last-event-id").parse().unwrap_or(0);
        for number in after + 1..=events {
            if number > after + 1 && !connection.work(gap) {
                watch(&self.id, "cancelled", req.id());
                return false;
            }
            let event = format!(
                "id: {number}\ndata: piece {number} of {} at {}\n\n",
                req.id(),
                self.id
            );
            match framing {
                Framing::Chunked => {
                    bytes.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
                }
                Framing::UntilClose => bytes.extend_from_slice(event.as_bytes()),
            }
            if !connection.send(&bytes) {
                return false;
            }
            sent.append(&mut bytes);
        }
        match framing {
            Framing::Chunked => {
                sent.extend_from_slice(b"0\r\n\r\n");
                connection.send(b"0\r\n\r\n")
            }
            Framing::UntilClose => false,
        }
    }

    fn order(
        &self,
        req: &Request,
    ) -> (u16, Value) {
        let order: Value = serde_json::from_slice(&req.body).unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let fence = order["fence"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return (412, json!({"error": "a higher fence number was seen"}));
        }
        state.fence = fence;
        if order
            .get("expected")
            .is_some_and(|it| it.as_u64() != Some(state.seq))
        {
            return (409, json!({"error": "seq differs", "seq": state.seq}));
        }
        let adapter = order["adapter"].as_str().unwrap_or_default().to_owned();
        state.seq += 1;
        if order["op"] == "unload" {
            state.adapters.retain(|(name, _)| *name != adapter);
            return (200, json!({}));
        }
        if adapter.is_empty() || state.adapters.iter().any(|(name, _)| *name == adapter) {
            state.seq -= 1;
            return (200, json!({}));
        }
        if state.adapters.len() >= ADAPTER_SLOTS {
            state.over_capacity += 1;
        }
        let times = &self.conduct.load_times;
        let time = times[state.loads % times.len()];
        state.loads += 1;
        state.adapters.push((adapter, Instant::now() + time));
        (202, json!({}))
    }

    fn report(&self) -> Value {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let names = |is_ready: bool| {
            let adapters = state.adapters.iter();
            let adapters = adapters.filter(move |(_, at)| (*at <= now) == is_ready);
            adapters.map(|(name, _)| name)
        };
        let held: Vec<String> = names(true).map(|name| format!("{name}@1")).collect();
        let coming: Vec<String> = names(false).map(|name| format!("base/{name}@1")).collect();
        json!({
            "stage": "hybrid", "models": [{"name": "base", "version": 1, "adapters": held}], "busy": false,
            "seq": state.seq, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 123_223, "handles": 0,
            "coming": coming, "born": 1_700_000_000_000_u64 + self.life.crashes(),
        })
    }
}
