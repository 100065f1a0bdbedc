use {
    crate::server::{self, RunningServer},
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

/// Settings of the fake weight store.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightSettings {
    /// Minimum interval between load starts, in milliseconds.
    pub every_ms: u64,
    /// Duration of a load at full speed, in milliseconds.
    pub load_ms: u64,
    /// Concurrent loads served at full speed; beyond it, loads slow down proportionally.
    pub full_speed: u64,
    /// Weight names whose loads fail.
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
struct State {
    cfg: WeightSettings,
    next_load_at: Option<Instant>,
    in_flight: u64,
    most_in_flight: u64,
    served: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct WeightStore(Mutex<State>);

impl WeightStore {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a load and returns its scheduled start.
    fn schedule_load(&self) -> Instant {
        let mut state = self.lock();
        state.in_flight += 1;
        state.most_in_flight = state.most_in_flight.max(state.in_flight);
        let now = Instant::now();
        let start_at = state.next_load_at.map_or(now, |next| next.max(now));
        state.next_load_at = Some(start_at + Duration::from_millis(state.cfg.every_ms));
        start_at
    }

    fn load_duration(&self) -> Duration {
        let state = self.lock();
        let concurrency = state.in_flight.max(state.cfg.full_speed);
        Duration::from_millis(state.cfg.load_ms * concurrency / state.cfg.full_speed.max(1))
    }
}

/// Decrements the in-flight count on drop, also when the engine disconnects.
struct InFlightGuard<'a>(&'a WeightStore);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().in_flight -= 1;
    }
}

/// Starts a weight store that listens on `address`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(
    address: SocketAddr,
    cfg: WeightSettings,
) -> io::Result<RunningServer> {
    let store = Data::new(WeightStore::default());
    store.lock().cfg = cfg;
    let routes = move |cfg: &mut web::ServiceConfig| {
        cfg.app_data(Data::clone(&store))
            .route("/weights/{name}", web::get().to(weights))
            .route("/stand-in/settings", web::post().to(set_settings))
            .route("/stand-in/record", web::get().to(record));
    };
    server::start(address, routes, || future::ready(()))
}

async fn weights(
    store: Data<WeightStore>,
    name: Path<String>,
) -> HttpResponse {
    let start_at = store.schedule_load();
    let _guard = InFlightGuard(&store);
    time::sleep_until(start_at.into()).await;
    time::sleep(store.load_duration()).await;
    let mut state = store.lock();
    if state.cfg.failing.contains(&name) {
        HttpResponse::InternalServerError().json(json!({"error": {"code": "weights_failed"}}))
    } else {
        *state.served.entry(name.clone()).or_default() += 1;
        HttpResponse::Ok().body(name.into_inner())
    }
}

async fn set_settings(
    store: Data<WeightStore>,
    Json(cfg): Json<WeightSettings>,
) -> HttpResponse {
    store.lock().cfg = cfg;
    HttpResponse::NoContent().finish()
}

async fn record(store: Data<WeightStore>) -> HttpResponse {
    let state = store.lock();
    HttpResponse::Ok().json(json!({
        "in_flight": state.in_flight,
        "most_in_flight": state.most_in_flight,
        "served": state.served,
    }))
}
