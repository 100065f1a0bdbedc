use {
    super::{
        faults::PlatformFaults,
        messages::{LeaseReq, Op, PutReq, RangeReq, TxnReq, WatchReq},
        store::Store,
        vm_list::{DelayedList, VmList},
        watch::Watcher,
    },
    crate::server::{self, RunningServer, lost_reply},
    actix_web::{
        HttpResponse,
        web::{self, Data, Json},
    },
    futures::stream,
    serde::Serialize,
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time},
};

/// Interval of the lease expiry check.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Number of calls by kind; an open watch counts once.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(super) struct Calls {
    range: u64,
    put: u64,
    txn: u64,
    delete_range: u64,
    lease_grant: u64,
    lease_keepalive: u64,
    lease_revoke: u64,
    watch: u64,
    vms: u64,
    /// Calls of any kind refused during an outage.
    refused: u64,
    pub(super) watches_waiting: u64,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) store: Store,
    pub(super) faults: PlatformFaults,
    pub(super) calls: Calls,
    vms: DelayedList,
}

#[derive(Debug)]
pub(super) struct Platform {
    state: Mutex<State>,
    pub(super) changed: watch::Sender<()>,
}

impl Platform {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and applies the injected delay; `None` during an outage.
    async fn begin_call(
        &self,
        count: fn(&mut Calls) -> &mut u64,
    ) -> Option<()> {
        let (delay, outage) = {
            let mut state = self.lock();
            *count(&mut state.calls) += 1;
            (state.faults.delay_ms, state.faults.outage)
        };
        if delay > 0 {
            time::sleep(Duration::from_millis(delay)).await;
        }
        if outage {
            self.lock().calls.refused += 1;
        }
        (!outage).then_some(())
    }

    /// Answers a write, or drops the reply if that fault is set.
    fn write_response(
        &self,
        answer: Result<Value, &'static str>,
    ) -> HttpResponse {
        self.changed.send_replace(());
        let mut state = self.lock();
        match answer {
            Ok(_) if state.faults.lose_replies > 0 => {
                state.faults.lose_replies -= 1;
                lost_reply()
            }
            Ok(answer) => HttpResponse::Ok().json(answer),
            Err(message) => error_response(message),
        }
    }
}

/// Starts the key-value service and the VM list at `address`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(address: SocketAddr) -> io::Result<RunningServer> {
    let platform = Data::new(Platform {
        state: Mutex::default(),
        changed: watch::Sender::new(()),
    });
    let clock = Data::clone(&platform);
    let routes = move |cfg: &mut web::ServiceConfig| {
        cfg.app_data(Data::clone(&platform))
            .route("/v3/kv/range", web::post().to(range))
            .route("/v3/kv/put", web::post().to(put))
            .route("/v3/kv/deleterange", web::post().to(delete_range))
            .route("/v3/kv/txn", web::post().to(txn))
            .route("/v3/lease/grant", web::post().to(grant))
            .route("/v3/lease/keepalive", web::post().to(keep_alive))
            .route("/v3/lease/revoke", web::post().to(revoke))
            .route("/v3/kv/lease/revoke", web::post().to(revoke))
            .route("/v3/watch", web::post().to(watch_range))
            .route("/vms", web::get().to(vms))
            .route("/stand-in/vms", web::post().to(set_vms))
            .route("/stand-in/fault", web::post().to(set_faults))
            .route("/stand-in/calls", web::get().to(calls));
    };
    server::start(address, routes, move || run_lease_expiry(clock))
}

async fn run_lease_expiry(platform: Data<Platform>) {
    loop {
        time::sleep(LEASE_CHECK_INTERVAL).await;
        let mut state = platform.lock();
        if !state.faults.outage && state.store.expire_leases() {
            drop(state);
            platform.changed.send_replace(());
        }
    }
}

fn error_response(message: &str) -> HttpResponse {
    let code = if message.ends_with("not found") { 5 } else { 3 };
    let body = json!({"error": message, "message": message, "code": code});
    match code {
        5 => HttpResponse::NotFound().json(body),
        _ => HttpResponse::BadRequest().json(body),
    }
}

fn unavailable() -> HttpResponse {
    let message = "etcdserver: no leader";
    HttpResponse::ServiceUnavailable()
        .json(json!({"error": message, "message": message, "code": 14}))
}

async fn range(
    platform: Data<Platform>,
    Json(req): Json<RangeReq>,
) -> HttpResponse {
    match platform.begin_call(|calls| &mut calls.range).await {
        Some(()) => HttpResponse::Ok().json(platform.lock().store.range(&req)),
        None => unavailable(),
    }
}

async fn put(
    platform: Data<Platform>,
    Json(req): Json<PutReq>,
) -> HttpResponse {
    if platform.begin_call(|calls| &mut calls.put).await.is_none() {
        return unavailable();
    }
    let answer = platform.lock().store.run_op(&Op::Put(req));
    platform.write_response(answer)
}

async fn delete_range(
    platform: Data<Platform>,
    Json(req): Json<RangeReq>,
) -> HttpResponse {
    if platform
        .begin_call(|calls| &mut calls.delete_range)
        .await
        .is_none()
    {
        return unavailable();
    }
    let answer = platform.lock().store.run_op(&Op::Delete(req));
    platform.write_response(answer)
}

async fn txn(
    platform: Data<Platform>,
    Json(req): Json<TxnReq>,
) -> HttpResponse {
    if platform.begin_call(|calls| &mut calls.txn).await.is_none() {
        return unavailable();
    }
    let answer = platform.lock().store.txn(&req);
    platform.write_response(answer)
}

async fn grant(
    platform: Data<Platform>,
    Json(req): Json<LeaseReq>,
) -> HttpResponse {
    if platform
        .begin_call(|calls| &mut calls.lease_grant)
        .await
        .is_none()
    {
        return unavailable();
    }
    let answer = {
        let mut state = platform.lock();
        let granted = state.store.grant(req.id.0, req.ttl.0);
        let header = state.store.header();
        granted
            .map(|id| json!({"header": header, "ID": id.to_string(), "TTL": req.ttl.0.to_string()}))
    };
    platform.write_response(answer)
}

async fn keep_alive(
    platform: Data<Platform>,
    Json(req): Json<LeaseReq>,
) -> HttpResponse {
    if platform
        .begin_call(|calls| &mut calls.lease_keepalive)
        .await
        .is_none()
    {
        return unavailable();
    }
    let mut state = platform.lock();
    let ttl = state.store.keep_alive(req.id.0);
    let mut result = json!({"header": state.store.header(), "ID": req.id.0.to_string()});
    if ttl > 0 {
        result["TTL"] = json!(ttl.to_string());
    }
    HttpResponse::Ok().json(json!({"result": result}))
}

async fn revoke(
    platform: Data<Platform>,
    Json(req): Json<LeaseReq>,
) -> HttpResponse {
    if platform
        .begin_call(|calls| &mut calls.lease_revoke)
        .await
        .is_none()
    {
        return unavailable();
    }
    let answer = {
        let mut state = platform.lock();
        let known = state.store.revoke(req.id.0);
        let header = state.store.header();
        known
            .then(|| json!({"header": header}))
            .ok_or("etcdserver: requested lease not found")
    };
    platform.write_response(answer)
}

async fn watch_range(
    platform: Data<Platform>,
    Json(req): Json<WatchReq>,
) -> HttpResponse {
    if platform
        .begin_call(|calls| &mut calls.watch)
        .await
        .is_none()
    {
        return unavailable();
    }
    let watcher = Watcher::new(platform, req.create_request);
    HttpResponse::Ok()
        .content_type("application/json")
        .streaming(stream::unfold(watcher, Watcher::next_line))
}

async fn vms(platform: Data<Platform>) -> HttpResponse {
    let mut state = platform.lock();
    state.calls.vms += 1;
    if state.faults.vms_outage {
        unavailable()
    } else {
        HttpResponse::Ok().json(state.vms.visible())
    }
}

async fn set_vms(
    platform: Data<Platform>,
    Json(list): Json<VmList>,
) -> HttpResponse {
    platform.lock().vms.set(list);
    HttpResponse::NoContent().finish()
}

async fn set_faults(
    platform: Data<Platform>,
    Json(faults): Json<PlatformFaults>,
) -> HttpResponse {
    let mut state = platform.lock();
    if state.faults.outage && !faults.outage {
        state.store.extend_leases();
    }
    state.faults = faults;
    drop(state);
    platform.changed.send_replace(());
    HttpResponse::NoContent().finish()
}

async fn calls(platform: Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(&platform.lock().calls)
}
