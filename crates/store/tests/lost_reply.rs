//! Failed calls must report whether the write may have been applied.

use {
    futures::StreamExt,
    jasmine_core::clock::Millis,
    jasmine_store::{
        etcd::{EtcdOptions, EtcdStore},
        store::{Compare, Op, Range, Store, StoreError, Txn, WatchEvent},
    },
    jasmine_testkit::{RunningServer, client::post_json, platform},
    serde_json::json,
    std::net::SocketAddr,
};

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn store_of(platform: &RunningServer) -> EtcdStore {
    EtcdStore::new(EtcdOptions::new(vec![format!(
        "http://{}",
        platform.address()
    )]))
}

fn create(key: &str) -> Txn {
    Txn {
        compare: vec![Compare::Absent(key.into())],
        success: vec![Op::put(key, "mine")],
        failure: Vec::new(),
    }
}

/// Guards against reporting a write as rejected when only its response was lost.
#[actix_web::test]
async fn outcome_unknown() {
    let platform = platform::start(loopback()).unwrap();
    let store = store_of(&platform);
    post_json(
        platform.address(),
        "/stand-in/fault",
        json!({"lose_replies": 1}),
    )
    .await
    .unwrap();
    let lost = store.txn(create("a")).await;
    assert!(
        matches!(lost, Err(StoreError::OutcomeUnknown(_))),
        "{lost:?}"
    );
    let found = store.range(Range::key("a")).await.unwrap();
    assert_eq!(found.kvs[0].value, b"mine");
    assert!(!store.txn(create("a")).await.unwrap().succeeded);
}

/// Guards against reporting an unknown outcome when the connection was refused.
#[actix_web::test]
async fn refused_connection_is_not_applied() {
    // Keeps the port bound, so that no other test can listen on it.
    let bound_socket = tokio::net::TcpSocket::new_v4().unwrap();
    bound_socket.bind(loopback()).unwrap();
    let address = bound_socket.local_addr().unwrap();
    let store = EtcdStore::new(EtcdOptions::new(vec![format!("http://{address}")]));
    let e = store.txn(create("a")).await.unwrap_err();
    assert!(e.is_not_applied(), "{e:?}");
}

#[actix_web::test]
async fn lease_and_watch() {
    let platform = platform::start(loopback()).unwrap();
    let store = store_of(&platform);
    let lease = store.grant(Millis(5000)).await.unwrap();
    let put = Txn {
        success: vec![Op::put_leased("k", "v", lease.id)],
        ..Txn::default()
    };
    let revision = store.txn(put).await.unwrap().revision;
    assert!(store.keep_alive(lease.id).await.unwrap().is_some());
    let mut watch = store.watch(Range::prefix("k"), revision).await.unwrap();
    store.revoke(lease.id).await.unwrap();
    let mut seen = Vec::new();
    while seen.len() < 2 {
        seen.extend(watch.next().await.unwrap().unwrap().events);
    }
    assert!(matches!(&seen[0], WatchEvent::Put(kv) if kv.lease == lease.id.0));
    assert!(matches!(&seen[1], WatchEvent::Delete(kv) if kv.key == "k"));
    assert!(store.keep_alive(lease.id).await.unwrap().is_none());
}
