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

const CHANGES: [(&str, &str); 6] = [
    ("HTTP/1.1 200", "HTTP/1.1 000"),
    ("HTTP/1.1 200", "HTTP/1.1 600"),
    ("HTTP/1.1 200", "\r\nHTTP/1.1 200"),
    ("\r\n", "\r\nX-Odd : a\r\n"),
    ("\r\n", "\r\nX Odd: a\r\n"),
    ("\r\n", "\r\nX-Odd: a\n"),
];

#[actix_web::test]
async fn are_not_believed() {
    // Guards against an order that counts as carried out, or a report, on the word of a broken answer.
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let engine = engine::start(any_port, EngineSettings::default()).unwrap();
    let proxy = Proxy::start(any_port, engine.address()).unwrap();
    let mut reports = ReportReader::new(proxy.address());
    for (fence, (from, to)) in (1..).zip(CHANGES) {
        proxy.set_rewrite(Some(Rewrite::new(from, to)));
        let raised = EngineClient
            .raise_fence(proxy.address(), Fence(fence))
            .await;
        assert_eq!(raised, None, "{to:?}");
        let report = reports.read().await;
        assert!(report.is_err(), "{to:?}: {report:?}");
        proxy.set_rewrite(None);
        let raised = EngineClient
            .raise_fence(proxy.address(), Fence(fence))
            .await;
        assert_eq!(raised, Some(true), "{to:?}");
        assert!(reports.read().await.is_ok(), "{to:?}");
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
