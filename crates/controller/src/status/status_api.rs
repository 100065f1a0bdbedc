use {
    super::Health,
    actix_web::{
        App, HttpResponse, HttpServer,
        dev::Server,
        http::header::ContentType,
        web::{self, Data},
    },
    jasmine_telemetry::metrics::Metrics,
    std::{io, net::TcpListener},
};

/// Serves `/healthz`, `/readyz` and `/metrics` from a thread of its own.
///
/// # Errors
///
/// Where the listener can't be used.
pub fn start(
    listener: TcpListener,
    health: Health,
    metrics: Metrics,
) -> io::Result<Server> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(health.clone()))
            .app_data(Data::new(metrics.clone()))
            .route("/healthz", web::get().to(healthz))
            .route("/readyz", web::get().to(readyz))
            .route("/metrics", web::get().to(page))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

async fn healthz(health: Data<Health>) -> HttpResponse {
    if health.is_healthy() {
        HttpResponse::Ok().body("ok\n")
    } else {
        HttpResponse::ServiceUnavailable().body("stalled\n")
    }
}

async fn readyz(health: Data<Health>) -> HttpResponse {
    let unready = health.unready();
    if unready.is_empty() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body(format!("{}\n", unready.join(" ")))
    }
}

async fn page(metrics: Data<Metrics>) -> HttpResponse {
    match metrics.page() {
        Ok(page) => HttpResponse::Ok()
            .content_type(ContentType::plaintext())
            .body(page),
        Err(e) => HttpResponse::InternalServerError().body(format!("{e}\n")),
    }
}
