//! Answers of engines that are no HTTP responses.

use {
    jasmine_controller::engines::{EngineClient, ReportReader},
    jasmine_core::ids::Fence,
    jasmine_testkit::{
        engine::{self, EngineSettings},
        proxy::{Proxy, Rewrite},
    },
    std::net::SocketAddr,
};

#[actix_web::test]
async fn are_not_believed() {
    // Guards against an order that counts as carried out, or a report, on the word of a broken answer.
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = engine::start(any_port, EngineSettings::default()).unwrap();
    let proxy = Proxy::start(any_port, engine.address()).unwrap();
    let mut reports = ReportReader::new(proxy.address());
    for (fence, change) in (1..).zip(Rewrite::broken_heads()) {
        proxy.set_rewrite(Some(change.clone()));
        let raised = EngineClient
            .raise_fence(proxy.address(), Fence(fence))
            .await;
        assert_eq!(raised, None, "{change:?}");
        let report = reports.read().await;
        assert!(report.is_err(), "{change:?}: {report:?}");
        proxy.set_rewrite(None);
        let raised = EngineClient
            .raise_fence(proxy.address(), Fence(fence))
            .await;
        assert_eq!(raised, Some(true), "{change:?}");
        assert!(reports.read().await.is_ok(), "{change:?}");
    }
}

#[actix_web::test]
async fn reports_of_failed_reads() {
    // Guards against the state of an engine that is taken from the body of an error.
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = engine::start(any_port, EngineSettings::default()).unwrap();
    let proxy = Proxy::start(any_port, engine.address()).unwrap();
    proxy.set_rewrite(Some(Rewrite::new("HTTP/1.1 200", "HTTP/1.1 500")));
    let report = ReportReader::new(proxy.address()).read().await;
    assert!(report.is_err(), "{report:?}");
}
