use {
    crate::server::{self, Running},
    actix_web::{
        HttpResponse,
        web::{self, Data, Json, Path},
    },
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        collections::BTreeMap,
        future, io,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time,
};

/// How the weight store behaves.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// Milliseconds from one load's start to the next one's.
    pub every_ms: u64,
    /// Milliseconds of a load while few are in flight.
    pub load_ms: u64,
    /// Loads in flight beyond which each takes proportionally longer.
    pub full_speed: u64,
    /// Names whose loads fail.
    pub failing: Vec<String>,
}

impl Default for WeightSettings {
    fn default() -> Self {
        Self {
            every_ms: 500,
            load_ms: 250,
            full_speed: 8,
            failing: Vec::new(),
        }
    }
}

#[derive(Debug, Default)]
struct Inner {
    cfg: WeightSettings,
    next_start: Option<Instant>,
    in_flight: u64,
    most_in_flight: u64,
    served: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct WeightStore(Mutex<Inner>);

impl WeightStore {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the next turn: when it begins.
    fn enter(&self) -> Instant {
        let mut inner = self.lock();
        inner.in_flight += 1;
        inner.most_in_flight = inner.most_in_flight.max(inner.in_flight);
        let now = Instant::now();
        let begins = inner.next_start.map_or(now, |next| next.max(now));
        inner.next_start = Some(begins + Duration::from_millis(inner.cfg.every_ms));
        begins
    }

    fn load_time(&self) -> Duration {
        let inner = self.lock();
        let over = inner.in_flight.max(inner.cfg.full_speed);
        Duration::from_millis(inner.cfg.load_ms * over / inner.cfg.full_speed.max(1))
    }
}

/// Leaves the store also when the engine that loads goes away.
struct InFlight<'a>(&'a WeightStore);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

/// Starts the weight store at `address`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(
    address: SocketAddr,
    cfg: WeightSettings,
) -> io::Result<Running> {
    let store = Data::new(WeightStore::default());
    store.lock().cfg = cfg;
    let routes = move |cfg: &mut web::ServiceConfig| {
        cfg.app_data(Data::clone(&store))
            .route("/weights/{name}", web::get().to(weights))
            .route("/stand-in/settings", web::post().to(set))
            .route("/stand-in/record", web::get().to(record));
    };
    server::start(address, routes, || future::ready(()))
}

async fn weights(
    store: Data<WeightStore>,
    name: Path<String>,
) -> HttpResponse {
    let begins = store.enter();
    let _in_flight = InFlight(&store);
    time::sleep_until(begins.into()).await;
    time::sleep(store.load_time()).await;
    let mut inner = store.lock();
    if inner.cfg.failing.contains(&name) {
        HttpResponse::InternalServerError().json(json!({"error": {"code": "weights_failed"}}))
    } else {
        *inner.served.entry(name.clone()).or_default() += 1;
        HttpResponse::Ok().body(name.into_inner())
    }
}

async fn set(
    store: Data<WeightStore>,
    Json(cfg): Json<WeightSettings>,
) -> HttpResponse {
    store.lock().cfg = cfg;
    HttpResponse::NoContent().finish()
}

async fn record(store: Data<WeightStore>) -> HttpResponse {
    let inner = store.lock();
    HttpResponse::Ok().json(json!({
        "in_flight": inner.in_flight,
        "most_in_flight": inner.most_in_flight,
        "served": inner.served,
    }))
}
