use {
    super::{
        batch,
        generate::{cancel, generate, resume},
        orders::{cache_events, export, fence, import, load, load_adapter, role, unload_adapter},
        settings::{EngineFaults, EngineSettings},
        state::Engine,
    },
    crate::server::{self, RunningServer, header_list},
    actix_web::{
        Error, HttpResponse,
        body::MessageBody,
        dev::{ServiceRequest, ServiceResponse},
        middleware::{Next, from_fn},
        web::{self, Bytes, Data, Json},
    },
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time,
};

/// Starts an engine that listens on `address`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(
    address: SocketAddr,
    cfg: EngineSettings,
) -> io::Result<RunningServer> {
    let engine = Arc::new(Engine::new(cfg));
    let stepping = Arc::clone(&engine);
    let routes = move |cfg: &mut web::ServiceConfig| {
        let v1 = web::scope("/v1")
            .wrap(from_fn(record_request))
            .route("/chat/completions", web::post().to(generate))
            .route("/completions", web::post().to(generate))
            .route("/streams/{stream}", web::get().to(resume))
            .route("/streams/{stream}", web::delete().to(cancel))
            .route("/load_adapter", web::post().to(load_adapter))
            .route("/unload_adapter", web::post().to(unload_adapter))
            .route("/fence", web::post().to(fence))
            .route("/role", web::post().to(role))
            .route("/load", web::get().to(load))
            .route("/cache_events", web::get().to(cache_events))
            .route("/kv/export", web::post().to(export))
            .route("/kv/import", web::post().to(import));
        cfg.app_data(Data::from(Arc::clone(&engine)))
            .service(v1)
            .route("/stand-in/fault", web::post().to(set_faults))
            .route("/stand-in/record", web::get().to(record));
    };
    server::start(address, routes, move || batch::run(stepping))
}

/// Blocks a response while the engine hangs.
pub(super) async fn wait_while_hung(engine: &Engine) {
    let mut rx = engine.tick.subscribe();
    while engine.lock().faults.hang {
        drop(time::timeout(Duration::from_millis(100), rx.changed()).await);
    }
}

/// Records each request in full, so that tests can search it for leaked keys.
async fn record_request<B>(
    engine: Data<Engine>,
    mut req: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<B>, Error>
where
    B: MessageBody,
{
    let parts = req.request();
    let head = format!(
        "{} {} {:?}",
        parts.method(),
        parts.uri(),
        header_list(parts)
    );
    let polled = parts.path() == "/v1/load" || parts.path() == "/v1/cache_events";
    let body = req.extract::<Bytes>().await?;
    if !polled {
        engine
            .lock()
            .record_raw_request(format!("{head} {}", String::from_utf8_lossy(&body)));
    }
    req.set_payload(actix_web::dev::Payload::from(body));
    next.call(req).await
}

async fn set_faults(
    engine: Data<Engine>,
    Json(faults): Json<EngineFaults>,
) -> HttpResponse {
    let mut state = engine.lock();
    if faults.restart {
        state.restart();
    }
    state.faults = faults;
    drop(state);
    engine.tick.send_replace(());
    HttpResponse::NoContent().finish()
}

async fn record(engine: Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(&engine.lock().record)
}
