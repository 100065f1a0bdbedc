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

/// Serves `/healthz`, `/readyz` and `/metrics` on a separate thread.
///
/// # Errors
///
/// The I/O error if the listener can't be used.
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
            .route("/metrics", web::get().to(metrics_page))
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
    let unready_reasons = health.unready_reasons();
    if unready_reasons.is_empty() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body(format!("{}\n", unready_reasons.join(" ")))
    }
}

async fn metrics_page(metrics: Data<Metrics>) -> HttpResponse {
    match metrics.page() {
        Ok(page) => HttpResponse::Ok()
            .content_type(ContentType::plaintext())
            .body(page),
        Err(e) => HttpResponse::InternalServerError().body(format!("{e}\n")),
    }
}
