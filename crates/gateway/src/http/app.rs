use {
    super::{admit::Arrival, answers::refused, completions, models, services, status},
    crate::request::Problem,
    actix_web::{HttpRequest, HttpResponse, web},
    jasmine_core::error::ErrorKind,
};

/// The routes of the callers' port; the worker has to be among the app's data.
pub fn caller_routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/chat/completions", web::post().to(completions::chat))
        .route("/v1/completions", web::post().to(completions::plain))
        .route("/v1/models", web::get().to(models::list))
        .route(
            "/services/{service}/{path:.*}",
            web::route().to(services::call),
        )
        .default_service(web::route().to(nothing));
}

/// The routes of the status port.
pub fn status_routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/healthz", web::get().to(status::health))
        .route("/readyz", web::get().to(status::ready))
        .route("/metrics", web::get().to(status::metrics));
}

async fn nothing(req: HttpRequest) -> HttpResponse {
    match Arrival::new(&req) {
        Some(arrival) => refused(
            &arrival.worker.shared,
            &arrival.name,
            "",
            &Problem::from(ErrorKind::NotFound),
        ),
        None => HttpResponse::NotFound().finish(),
    }
}
