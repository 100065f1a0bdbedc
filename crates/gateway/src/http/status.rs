use {
    super::shared::Shared,
    actix_web::{HttpResponse, web::Data},
};

/// `GET /healthz`: whether the process responds.
pub(super) async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// `GET /readyz`: whether load balancers may send requests.
pub(super) async fn ready(shared: Data<Shared>) -> HttpResponse {
    let readiness = &shared.readiness;
    match () {
        () if readiness.is_ready() => HttpResponse::Ok().body("ready\n"),
        () if readiness.is_draining() => HttpResponse::ServiceUnavailable().body("stopping\n"),
        () if readiness.is_confirmed() => {
            HttpResponse::ServiceUnavailable().body("rights not settled\n")
        }
        () => HttpResponse::ServiceUnavailable().body("configuration not confirmed\n"),
    }
}

/// `GET /metrics`
pub(super) async fn metrics(shared: Data<Shared>) -> HttpResponse {
    match shared.metrics.page() {
        Ok(page) => HttpResponse::Ok()
            .content_type("text/plain; version=0.0.4")
            .body(page),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}
