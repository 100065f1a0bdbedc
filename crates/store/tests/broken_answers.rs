//! Answers of the platform that are no HTTP responses.

use {
    jasmine_core::clock::Millis,
    jasmine_store::{
        etcd::{EtcdOptions, EtcdStore},
        store::{Op, Range, Store, StoreError, Txn},
        vms::VmList,
    },
    jasmine_testkit::{
        platform,
        proxy::{Proxy, Rewrite},
    },
    std::net::SocketAddr,
};

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn put() -> Txn {
    Txn {
        compare: Vec::new(),
        success: vec![Op::put("a", "mine")],
        failure: Vec::new(),
    }
}

#[actix_web::test]
async fn are_not_believed() {
    // Guards against a write that counts as done, or a list of VMs, on the word of a broken answer.
    let platform = platform::start(loopback()).unwrap();
    let proxy = Proxy::start(loopback(), platform.address()).unwrap();
    let url = format!("http://{}", proxy.address());
    let store = EtcdStore::new(EtcdOptions::new(vec![url.clone()]));
    let vms = VmList::new(&url, Millis(1_000));
    for change in Rewrite::broken_heads() {
        proxy.set_rewrite(None);
        assert!(store.range(Range::key("a")).await.is_ok());
        assert!(vms.read().await.is_ok());
        proxy.set_rewrite(Some(change.clone()));
        let written = store.txn(put()).await;
        assert!(
            matches!(written, Err(StoreError::OutcomeUnknown(_))),
            "{change:?}: {written:?}"
        );
        assert!(store.range(Range::key("a")).await.is_err(), "{change:?}");
        assert!(vms.read().await.is_err(), "{change:?}");
    }
}

#[actix_web::test]
async fn lists_of_failed_reads() {
    // Guards against VMs that are taken from the body of an error.
    let platform = platform::start(loopback()).unwrap();
    let proxy = Proxy::start(loopback(), platform.address()).unwrap();
    let vms = VmList::new(&format!("http://{}", proxy.address()), Millis(1_000));
    proxy.set_rewrite(Some(Rewrite::new("HTTP/1.1 200", "HTTP/1.1 500")));
    assert!(vms.read().await.is_err());
}

#[actix_web::test]
async fn statuses_that_refuse_nothing() {
    // Guards against a write that ran and counts as refused, as the status of its answer isn't an expected one.
    let platform = platform::start(loopback()).unwrap();
    let proxy = Proxy::start(loopback(), platform.address()).unwrap();
    let store = EtcdStore::new(EtcdOptions::new(vec![format!(
        "http://{}",
        proxy.address()
    )]));
    for (status, is_not_applied) in [(202, false), (302, false), (500, false), (403, true)] {
        let to = format!("HTTP/1.1 {status}");
        proxy.set_rewrite(Some(Rewrite::new("HTTP/1.1 200", &to)));
        let e = store.txn(put()).await.unwrap_err();
        assert_eq!(e.is_not_applied(), is_not_applied, "{status}: {e}");
    }
}

#[actix_web::test]
async fn sound_interim_responses() {
    // Guards against an interim response that is taken for the answer.
    let platform = platform::start(loopback()).unwrap();
    let proxy = Proxy::start(loopback(), platform.address()).unwrap();
    let store = EtcdStore::new(EtcdOptions::new(vec![format!(
        "http://{}",
        proxy.address()
    )]));
    let to = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200";
    proxy.set_rewrite(Some(Rewrite::new("HTTP/1.1 200", to)));
    for _ in 0..3 {
        assert!(store.txn(put()).await.unwrap().succeeded);
    }
}
