//! Pooled connections to the store that silently stopped working.

use {
    futures::future::join_all,
    jasmine_core::clock::Millis,
    jasmine_store::{
        etcd::{EtcdOptions, EtcdStore},
        store::{Range, Store},
    },
    jasmine_testkit::{
        platform,
        proxy::{Fault, Proxy},
    },
    std::net::SocketAddr,
};

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Guards against one timeout per dead pooled connection, during which a VM would lose its lease.
#[actix_web::test]
async fn silent_connections_cost_one_timeout() {
    let platform = platform::start(loopback()).unwrap();
    let proxy = Proxy::start(loopback(), platform.address()).unwrap();
    let store = EtcdStore::new(EtcdOptions {
        timeout: Millis(300),
        ..EtcdOptions::new(vec![format!("http://{}", proxy.address())])
    });
    let open = (0..8).map(|_| store.range(Range::key("a")));
    assert!(join_all(open).await.iter().all(Result::is_ok));

    proxy.set_mode(Fault::Silent);
    let mut failed = 0;
    for _ in 0..8 {
        failed += u32::from(store.range(Range::key("a")).await.is_err());
    }
    assert_eq!(failed, 1, "calls lost to dead connections");
}
