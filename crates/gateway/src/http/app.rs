use {
    super::{
        admit::IncomingRequest, answers::error_response, completions, models, services, status,
    },
    crate::request::Problem,
    actix_web::{HttpRequest, HttpResponse, web},
    jasmine_core::error::ErrorKind,
};

/// Configures the routes of the callers' port; requires a `Worker` in the app data.
pub fn caller_routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/chat/completions", web::post().to(completions::chat))
        .route("/v1/completions", web::post().to(completions::plain))
        .route("/v1/models", web::get().to(models::list))
        .route(
            "/services/{service}/{path:.*}",
            web::route().to(services::call),
        )
        .default_service(web::route().to(not_found));
}

/// Configures the routes of the status port.
pub fn status_routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/healthz", web::get().to(status::health))
        .route("/readyz", web::get().to(status::ready))
        .route("/metrics", web::get().to(status::metrics));
}

async fn not_found(req: HttpRequest) -> HttpResponse {
    match IncomingRequest::new(&req) {
        Some(incoming) => error_response(
            &incoming.worker.shared,
            &incoming.name,
            "",
            &Problem::from(ErrorKind::NotFound),
        ),
        None => HttpResponse::NotFound().finish(),
    }
}
