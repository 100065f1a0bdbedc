//! Servers turn writes away, and a second answer that says so comes late, where the next attempt's answer is expected.

use {
    jasmine_platform_stand_in::KvStandIn,
    review_stand_ins::{
        client::Client,
        daemon::{config, request, start_all},
        has_trouble,
        http::{answer, serve},
        pause,
        record::Record,
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const RUN_TIME: Duration = Duration::from_secs(100);
/// Services, and the servers of each.
const SERVICES: u64 = 3;
const SERVERS: u64 = 2;
/// Requests in a hundred that the servers turn away, while they are grey.
const REFUSED_PERCENT: u64 = 45;
/// Answers in a thousand that come twice.
const SECOND_PER_MILLE: u64 = 30;
const WORK_TIME: Duration = Duration::from_millis(30);

/// Servers whose answers come twice: half of them, of at most 0.6.
const SPOILING_SERVERS: u64 = 1;

/// The answers of one server.
#[derive(Default)]
struct Own {
    answers: AtomicU64,
    seconds: AtomicU64,
}

/// What the servers have in common.
#[derive(Clone, Default)]
struct Shared {
    answers: Arc<AtomicU64>,
    seconds: Arc<AtomicU64>,
    random: Arc<AtomicU64>,
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Shared {
    /// Whether something happens to so many in a hundred.
    fn happens(
        &self,
        percent: u64,
    ) -> bool {
        let at = self.random.fetch_add(1, Ordering::Relaxed) + 1;
        let mixed = at.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 33) % 100 < percent
    }

    /// Whether a refusal of a server comes twice: only refusals are spoilt, and no more than the limit of its answers.
    fn spoils(
        &self,
        own: &Own,
    ) -> bool {
        let answers = own.answers.load(Ordering::Relaxed);
        let is_left = own.seconds.load(Ordering::Relaxed) * 1_000 < answers * SECOND_PER_MILLE;
        if has_trouble() && is_left {
            own.seconds.fetch_add(1, Ordering::Relaxed);
            self.seconds.fetch_add(1, Ordering::Relaxed);
        }
        has_trouble() && is_left
    }
}

fn start_server(
    id: &str,
    is_spoiling: bool,
    shared: &Shared,
    record: &Record,
) -> std::net::SocketAddr {
    let (id, shared, record) = (id.to_owned(), shared.clone(), record.clone());
    let own = Arc::<Own>::default();
    serve(move |mut connection| {
        let mut second: Option<(String, Vec<u8>)> = None;
        while let Some(req) = connection.request() {
            if let Some((of, bytes)) = second.take() {
                record.line(&format!("server {id}: second answer to {of}"));
                if !connection.send(&bytes) {
                    return;
                }
            }
            let headers = format!("X-Request-Id: {}\r\nX-Instance-Id: {id}\r\n", req.id());
            if req.target.starts_with("/healthz") {
                if !connection.send(&answer(200, &headers, "")) {
                    return;
                }
                continue;
            }
            shared.answers.fetch_add(1, Ordering::Relaxed);
            own.answers.fetch_add(1, Ordering::Relaxed);
            if has_trouble() && shared.happens(REFUSED_PERCENT) {
                record.line(&format!("server {id}: turns {} away", req.id()));
                let bytes = answer(503, &format!("{headers}X-Not-Executed: 1\r\n"), "");
                if is_spoiling && shared.spoils(&own) {
                    second = Some((req.id().to_owned(), bytes.clone()));
                }
                if !connection.send(&bytes) {
                    return;
                }
                continue;
            }
            record.line(&format!("server {id}: runs {}", req.id()));
            *shared
                .runs
                .lock()
                .unwrap()
                .entry(req.id().to_owned())
                .or_default() += 1;
            // It goes on although its client's channel may be closed.
            thread::sleep(WORK_TIME);
            let bytes = answer(
                200,
                &format!("{headers}X-Server-Seal: seal\r\n"),
                "enrolled",
            );
            if !connection.send(&bytes) {
                return;
            }
        }
    })
}

/// A configuration in which several services take writes.
fn config_of_services() -> Value {
    let mut config = config(1);
    let routes = config["routes"].as_array().expect("a list");
    let is_write = |route: &&Value| route["name"] == "enrol";
    let write = routes.iter().find(is_write).expect("it is there").clone();
    for number in 1..=SERVICES {
        let mut route = write.clone();
        route["name"] = json!(format!("enrol-{number}"));
        route["path_prefix"] = json!(format!("/enrol-{number}/"));
        route["service"] = json!(format!("app-{number}"));
        let service =
            json!({"name": format!("app-{number}"), "health_path": "/healthz", "max_conns": 100});
        config["routes"].as_array_mut().expect("a list").push(route);
        config["services"]
            .as_array_mut()
            .expect("a list")
            .push(service);
    }
    config
}

fn main() {
    let record = Record::create();
    let store = KvStandIn::start().expect("the store listens");
    store.put("op/config", &config_of_services());
    let shared = Shared::default();
    let servers =
        (1..=SERVICES).flat_map(|service| (1..=SERVERS).map(move |number| (service, number)));
    for (service, number) in servers {
        let id = format!("s-{service}{number}");
        let address = start_server(&id, number <= SPOILING_SERVERS, &shared, &record);
        store.put(
            &format!("servers/{id}"),
            &json!({
                "service": format!("app-{service}"), "address": address.to_string(), "zone": "one", "version": "v1", "slots": 6,
                "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1_700_000_000_000_u64,
            }),
        );
    }
    let daemons = start_all(&store, 3);
    let until = Instant::now() + RUN_TIME;
    let ends = Arc::new(Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for client in 0..9_usize {
            let address = daemons[client / 3 % daemons.len()].callers;
            let (record, ends) = (record.clone(), Arc::clone(&ends));
            scope.spawn(move || {
                let mut connection = Client::new(address);
                for number in 0_u64.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("c{client}-{number}");
                    let target = format!("/enrol-{}/x", client as u64 % SERVICES + 1);
                    let bytes = request("POST", &target, &id, "", "phone");
                    record.line(&format!("client sends {id}"));
                    let answer = connection.send(&bytes).unwrap_or_default();
                    record.line(&format!("client gets {} for {id}", answer.status));
                    ends.lock().unwrap().push((id, answer.status));
                    pause(150);
                }
            });
        }
    });
    pause(500);
    let runs = shared.runs.lock().unwrap();
    let ends = ends.lock().unwrap();
    let twice = runs.iter().filter(|(_, count)| **count > 1);
    let twice: Vec<_> = twice.map(|(id, _)| id.clone()).collect();
    let is_promise = |status: u16| matches!(status, 408 | 421 | 429 | 503);
    let refused = ends
        .iter()
        .filter(|(id, status)| is_promise(*status) && runs.contains_key(id));
    let refused: Vec<_> = refused.collect();
    record.say(&format!(
        "{} writes, {} answers of servers, {} second answers; answered 503 and run: {}; run twice: {}",
        ends.len(),
        shared.answers.load(Ordering::Relaxed),
        shared.seconds.load(Ordering::Relaxed),
        refused.len(),
        twice.len()
    ));
    for (id, status) in &refused {
        record.say(&format!("REFUSED: {id} was answered {status} and ran"));
    }
    for id in &twice {
        record.say(&format!("TWICE: {id} ran more than once"));
    }
    record.flush();
    drop(daemons);
    exit(i32::from(!twice.is_empty()));
}
