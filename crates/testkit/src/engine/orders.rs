use {
    super::{
        api::wait_while_hung,
        record::EndReason,
        state::{Engine, Job, State},
    },
    actix_web::{
        HttpResponse,
        web::{Data, Json, Query},
    },
    base64::{Engine as _, engine::general_purpose::STANDARD},
    serde::Deserialize,
    serde_json::json,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::time,
};

/// Duration of a load without a weight store.
const DEFAULT_LOAD_DURATION: Duration = Duration::from_millis(250);

/// Timeout of a fetch from the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_mins(2);

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct LoadOrder {
    instance: String,
    weights: String,
    fence: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct UnloadOrder {
    instance: String,
    fence: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct FenceOrder {
    fence: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct RoleOrder {
    role: String,
    fence: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct CacheEventsQuery {
    #[serde(default)]
    after: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ExportRequest {
    stream: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ImportRequest {
    blob: String,
}

fn error(
    mut answer: actix_web::HttpResponseBuilder,
    code: &str,
) -> HttpResponse {
    answer.json(json!({"error": {"code": code, "message": code}}))
}

/// The order's fencing token is older than the highest one seen.
struct StaleFence;

impl From<StaleFence> for HttpResponse {
    fn from(_: StaleFence) -> Self {
        error(Self::Conflict(), "stale_fence")
    }
}

/// Refuses an order with a stale fencing token if the engine checks fencing.
fn check_fence(
    engine: &Engine,
    state: &mut State,
    fence: u64,
) -> Result<(), StaleFence> {
    if engine.cfg.checks_fencing && fence < state.fence {
        state.record.stale_orders += 1;
        return Err(StaleFence);
    }
    state.fence = state.fence.max(fence);
    Ok(())
}

pub(super) async fn load_adapter(
    engine: Data<Engine>,
    Json(order): Json<LoadOrder>,
) -> HttpResponse {
    wait_while_hung(&engine).await;
    match begin_load(&engine, &order) {
        LoadStart::Answered(answer) => return answer,
        LoadStart::InProgress => return wait_for_load(&engine, &order.instance).await,
        LoadStart::Started => {}
    }
    let boot = engine.lock().boot;
    let fetched = fetch_weights(&engine, &order.weights).await;
    let slow = engine.lock().faults.slow_load_ms;
    time::sleep(Duration::from_millis(slow)).await;
    let mut state = engine.lock();
    state.loading.remove(&order.instance);
    let failed = state.faults.fail_loads > 0;
    state.faults.fail_loads -= u32::from(failed);
    let answer = if fetched && !failed && boot == state.boot {
        state.record.loads.push(order.instance.clone());
        state.instances.insert(order.instance, order.weights);
        HttpResponse::Ok().json(json!({"loaded": true}))
    } else {
        state.record.failed_loads.push(order.instance);
        error(HttpResponse::InternalServerError(), "load_failed")
    };
    drop(state);
    engine.tick.send_replace(());
    answer
}

enum LoadStart {
    Answered(HttpResponse),
    InProgress,
    Started,
}

fn begin_load(
    engine: &Engine,
    order: &LoadOrder,
) -> LoadStart {
    let mut state = engine.lock();
    match check_fence(engine, &mut state, order.fence) {
        Err(refusal) => LoadStart::Answered(refusal.into()),
        Ok(()) if state.instances.contains_key(&order.instance) => {
            LoadStart::Answered(HttpResponse::Ok().json(json!({"loaded": true})))
        }
        Ok(()) if state.loading.contains(&order.instance) => LoadStart::InProgress,
        Ok(()) if state.instances.len() + state.loading.len() >= engine.cfg.slots => {
            LoadStart::Answered(error(HttpResponse::InsufficientStorage(), "no_free_slot"))
        }
        Ok(()) => {
            state.loading.insert(order.instance.clone());
            LoadStart::Started
        }
    }
}

/// Waits for a load of the same instance that is already in progress.
async fn wait_for_load(
    engine: &Engine,
    instance: &str,
) -> HttpResponse {
    let mut rx = engine.tick.subscribe();
    while engine.lock().loading.contains(instance) {
        drop(time::timeout(DEFAULT_LOAD_DURATION, rx.changed()).await);
    }
    if engine.lock().instances.contains_key(instance) {
        HttpResponse::Ok().json(json!({"loaded": true}))
    } else {
        error(HttpResponse::InternalServerError(), "load_failed")
    }
}

async fn fetch_weights(
    engine: &Engine,
    weights: &str,
) -> bool {
    let Some(store) = engine.cfg.weight_store else {
        time::sleep(DEFAULT_LOAD_DURATION).await;
        return true;
    };
    let client = awc::Client::builder().timeout(WEIGHTS_TIMEOUT).finish();
    let answer = client
        .get(format!("http://{store}/weights/{weights}"))
        .send()
        .await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

pub(super) async fn unload_adapter(
    engine: Data<Engine>,
    Json(order): Json<UnloadOrder>,
) -> HttpResponse {
    wait_while_hung(&engine).await;
    let mut state = engine.lock();
    if let Err(refusal) = check_fence(&engine, &mut state, order.fence) {
        return refusal.into();
    }
    if state.instances.remove(&order.instance).is_none() {
        return error(HttpResponse::NotFound(), "instance_not_loaded");
    }
    let open = state.open_streams_on(&order.instance);
    state.record.cut_by_unload += open.len() as u32;
    for name in open {
        state.end(&name, EndReason::Unloaded);
    }
    state.record.unloads.push(order.instance);
    drop(state);
    engine.tick.send_replace(());
    HttpResponse::Ok().json(json!({"unloaded": true}))
}

pub(super) async fn fence(
    engine: Data<Engine>,
    Json(order): Json<FenceOrder>,
) -> HttpResponse {
    wait_while_hung(&engine).await;
    match check_fence(&engine, &mut engine.lock(), order.fence) {
        Ok(()) => HttpResponse::Ok().json(json!({"fence": order.fence})),
        Err(refusal) => refusal.into(),
    }
}

pub(super) async fn role(
    engine: Data<Engine>,
    Json(order): Json<RoleOrder>,
) -> HttpResponse {
    wait_while_hung(&engine).await;
    let mut state = engine.lock();
    match check_fence(&engine, &mut state, order.fence) {
        Ok(()) => {
            state.role.clone_from(&order.role);
            HttpResponse::Ok().json(json!({"role": order.role}))
        }
        Err(refusal) => refusal.into(),
    }
}

pub(super) async fn load(engine: Data<Engine>) -> HttpResponse {
    wait_while_hung(&engine).await;
    HttpResponse::Ok().json(&engine.lock().load_report)
}

pub(super) async fn cache_events(
    engine: Data<Engine>,
    Query(from): Query<CacheEventsQuery>,
) -> HttpResponse {
    wait_while_hung(&engine).await;
    let lag = Duration::from_millis(engine.cfg.cache_lag_ms);
    let state = engine.lock();
    let visible = state.cache_events.iter();
    let visible: Vec<_> = visible
        .filter(|event| event.seq > from.after && event.at.elapsed() >= lag)
        .collect();
    HttpResponse::Ok().json(json!({"events": visible}))
}

pub(super) async fn export(
    engine: Data<Engine>,
    Json(order): Json<ExportRequest>,
) -> HttpResponse {
    wait_while_hung(&engine).await;
    let mut state = engine.lock();
    let job = state
        .streams
        .get(&order.stream)
        .map(|stream| json!(stream.job).to_string());
    state.end(&order.stream, EndReason::Exported);
    drop(state);
    engine.tick.send_replace(());
    match job {
        Some(job) => HttpResponse::Ok().json(json!({"blob": STANDARD.encode(job)})),
        None => error(HttpResponse::NotFound(), "stream_unknown"),
    }
}

pub(super) async fn import(
    engine: Data<Engine>,
    Json(order): Json<ImportRequest>,
) -> HttpResponse {
    wait_while_hung(&engine).await;
    let job = STANDARD.decode(order.blob).ok();
    let Some(mut job) = job.and_then(|job| serde_json::from_slice::<Job>(&job).ok()) else {
        return error(HttpResponse::BadRequest(), "bad_blob");
    };
    let mut state = engine.lock();
    let instances_by_weights: BTreeMap<_, _> = state
        .instances
        .iter()
        .map(|(name, weights)| (weights, name))
        .collect();
    match instances_by_weights.get(&job.weights) {
        _ if job.weights.is_empty() => {}
        Some(instance) => job.instance.clone_from(instance),
        None => return error(HttpResponse::NotFound(), "instance_not_loaded"),
    }
    let name = state.enqueue(&engine.cfg, job);
    if let Some(stream) = state.streams.get_mut(&name) {
        // The imported KV cache makes the prefill unnecessary.
        stream.prefill_left = 1;
        stream.unread_since = Instant::now();
    }
    HttpResponse::Ok().json(json!({"stream": name}))
}
