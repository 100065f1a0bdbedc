//! Connections between daemons that fail or silently stop working.

use {
    jasmine_core::clock::Millis,
    jasmine_testkit::proxy::{Fault, Proxy},
    jasmine_wire::{
        jasmine_capnp::{controller, rights_holder},
        link::{Link, LinkError, LinkOptions, serve},
    },
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, task::spawn_local},
};

struct Server;

impl rights_holder::Server for Server {}

impl controller::Server for Server {
    async fn status(
        self: Rc<Self>,
        _: controller::StatusParams,
        mut results: controller::StatusResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_revision(7);
        Ok(())
    }

    async fn poll_config(
        self: Rc<Self>,
        _: controller::PollConfigParams,
        _: controller::PollConfigResults,
    ) -> Result<(), capnp::Error> {
        std::future::pending().await
    }
}

const OPTIONS: LinkOptions = LinkOptions {
    connect_timeout: Millis(500),
    call_timeout: Millis(300),
    heartbeat_interval: Millis(200),
    backoff_initial: Millis(20),
    backoff_max: Millis(100),
};

async fn proxied() -> (Proxy, Link<controller::Client>) {
    let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = TcpListener::bind(loopback).await.unwrap();
    let proxy = Proxy::start(loopback, listener.local_addr().unwrap()).unwrap();
    let server: controller::Client = capnp_rpc::new_client(Server);
    spawn_local(serve(listener, server.client));
    let link = Link::new(proxy.address(), OPTIONS);
    (proxy, link)
}

async fn status(link: &Link<controller::Client>) -> Result<u64, LinkError> {
    link.call(Millis::ZERO, |client| async move {
        let res = client.status_request().send().promise.await?;
        Ok(res.get()?.get_revision())
    })
    .await
}

/// Guards against calls that keep using a connection that silently stopped working.
#[actix_web::test]
async fn silent_connection_is_replaced() {
    let (proxy, link) = proxied().await;
    assert_eq!(status(&link).await, Ok(7));
    proxy.set_mode(Fault::Silent);
    assert_eq!(status(&link).await, Err(LinkError::TimedOut));
    assert_eq!(status(&link).await, Ok(7));
}

/// Guards against a long-polling call that waits on a dead connection until its own timeout.
#[actix_web::test]
async fn heartbeat_detects_silent_connection() {
    let (proxy, link) = proxied().await;
    let start = Instant::now();
    let silence = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        proxy.set_mode(Fault::Silent);
    };
    let waiting = link.call(Millis(60_000), |client| async move {
        client.poll_config_request().send().promise.await.map(drop)
    });
    let (result, ()) = futures::future::join(waiting, silence).await;
    assert_eq!(result, Err(LinkError::TimedOut));
    let took = start.elapsed();
    assert!(
        took > Duration::from_millis(600),
        "closed although heartbeats succeeded: {took:?}"
    );
    assert!(took < Duration::from_secs(3), "{took:?}");
    assert_eq!(status(&link).await, Ok(7));
}

/// Guards against reporting an unknown outcome, or skipping the backoff, when the connection is refused.
#[actix_web::test]
async fn refused_connection_backs_off() {
    let (proxy, link) = proxied().await;
    let address = proxy.address();
    drop(proxy);
    let refused_link: Link<controller::Client> = Link::new(address, OPTIONS);
    assert!(status(&refused_link).await.unwrap_err().is_not_sent());
    assert_eq!(status(&refused_link).await, Err(LinkError::BackingOff));
    drop(link);
}
