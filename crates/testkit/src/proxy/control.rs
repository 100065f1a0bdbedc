use {
    super::{link::Link, tcp_proxy::Proxy},
    crate::server::{self, RunningServer},
    actix_web::{
        HttpResponse,
        web::{self, Data, Json},
    },
    std::{future, io, net::SocketAddr},
};

/// Serves `POST /stand-in/link` at `address`, which sets the state of the proxy's link.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start_control(
    address: SocketAddr,
    proxy: Proxy,
) -> io::Result<RunningServer> {
    let proxy = Data::new(proxy);
    let routes = move |cfg: &mut web::ServiceConfig| {
        cfg.app_data(Data::clone(&proxy))
            .route("/stand-in/link", web::post().to(set_link));
    };
    server::start(address, routes, || future::ready(()))
}

async fn set_link(
    proxy: Data<Proxy>,
    Json(link): Json<Link>,
) -> HttpResponse {
    proxy.set(link);
    HttpResponse::NoContent().finish()
}
