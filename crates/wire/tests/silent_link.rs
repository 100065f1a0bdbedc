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

    /// Answers after the time that the caller asks the server to wait.
    async fn poll_fleet(
        self: Rc<Self>,
        params: controller::PollFleetParams,
        mut results: controller::PollFleetResults,
    ) -> Result<(), capnp::Error> {
        let wait = Duration::from_millis(params.get()?.get_wait_ms().into());
        tokio::time::sleep(wait).await;
        results.get().set_seq(7);
        Ok(())
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

/// A call that the server never answers.
async fn unanswered(
    link: &Link<controller::Client>,
    wait: Millis,
) -> Result<(), LinkError> {
    link.call(wait, |client| async move {
        client.poll_config_request().send().promise.await.map(drop)
    })
    .await
}

/// A call that the server answers after `wait`.
async fn answered_after(
    link: &Link<controller::Client>,
    wait: Millis,
) -> Result<u64, LinkError> {
    link.call(wait, |client| async move {
        let mut req = client.poll_fleet_request();
        req.get().set_wait_ms(wait.0 as u32);
        Ok(req.send().promise.await?.get()?.get_seq())
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

/// Guards against a timeout that closes a newer connection than that of its call, with all calls on it.
///
/// Two calls of different durations closed each other's connections for as long as both were repeated.
#[actix_web::test]
async fn timeout_leaves_newer_connections() {
    let (_proxy, link) = proxied().await;
    let newer = async {
        assert_eq!(
            unanswered(&link, Millis::ZERO).await,
            Err(LinkError::TimedOut)
        );
        // Its connection is new, and open until after the timeout of the call beside it.
        answered_after(&link, Millis(800)).await
    };
    let (older, newer) = futures::future::join(unanswered(&link, Millis(300)), newer).await;
    assert!(older.is_err(), "{older:?}");
    assert_eq!(newer, Ok(7));
}

/// Guards against calls that wait on a connection after another call has closed it.
#[actix_web::test]
async fn calls_on_a_closed_connection_fail() {
    let (proxy, _) = proxied().await;
    let without_heartbeats = LinkOptions {
        heartbeat_interval: Millis(60_000),
        ..OPTIONS
    };
    let link = Link::new(proxy.address(), without_heartbeats);
    let start = Instant::now();
    let (first, second) = futures::future::join(
        unanswered(&link, Millis::ZERO),
        unanswered(&link, Millis(10_000)),
    )
    .await;
    assert_eq!(first, Err(LinkError::TimedOut));
    assert!(matches!(second, Err(LinkError::Lost(_))), "{second:?}");
    let took = start.elapsed();
    assert!(took < Duration::from_secs(5), "{took:?}");
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
