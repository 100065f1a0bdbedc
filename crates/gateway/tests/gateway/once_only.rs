//! Calls that may not be repeated, and the truth of `not_run`.

use {
    crate::support::{self, Bench, BenchSpec},
    awc::http::Method,
    jasmine_testkit::{client::Call, proxy::Fault},
    serde_json::json,
    std::time::Duration,
};

fn enrol(bench: &Bench) -> Call {
    bench
        .call(Method::POST, "/services/phones/phones/17/enrolment")
        .header("x-deadline-ms", "1500")
        .body(json!({"profile": "field"}))
}

#[actix_rt::test]
async fn lost_reply() {
    // The service takes a call and its answer is lost. Sent again, the call would wipe a phone that has
    // just been set up; told "not run", the caller would send it again itself.
    let bench = Bench::start(BenchSpec::default()).await;
    bench.server_fault(json!({"lose_replies": 2})).await;
    let answer = support::answer(&enrol(&bench)).await;
    assert_eq!(answer.code(), "upstream_lost", "{answer:?}");
    assert_eq!(answer.json["error"]["execution"], "outcome_unknown");
    assert_eq!(bench.served().await.len(), 1);
}

#[actix_rt::test]
async fn silent_service() {
    // The connection goes silent after the call has left. Nobody knows whether it ran.
    let bench = Bench::start(BenchSpec::default()).await;
    bench.server_fault(json!({"delay_ms": 60_000})).await;
    let answer = support::answer(&enrol(&bench)).await;
    assert_eq!(answer.code(), "deadline_exceeded", "{answer:?}");
    assert_eq!(answer.json["error"]["execution"], "outcome_unknown");
    assert_eq!(bench.served().await.len(), 1);
}

#[actix_rt::test]
async fn silent_pool() {
    // Connections that were used before have silently died; new ones work. Sent over an old one, a call
    // that may not be repeated is lost, and its caller can't know whether it ran.
    let bench = Bench::start(BenchSpec::default()).await;
    let status = bench.call(Method::GET, "/services/phones/phones/17");
    // Enough for each worker to have used a connection to each server.
    for _ in 0..60 {
        assert_eq!(support::answer(&status).await.status, 200);
    }
    for link in &bench.server_links {
        link.set_mode(Fault::Silent);
    }
    for _ in 0..12 {
        assert_eq!(support::answer(&enrol(&bench)).await.status, 200);
    }
    // An idempotent one is tried again on a fresh connection.
    assert_eq!(support::answer(&status).await.status, 200);
}

#[actix_rt::test]
async fn nothing_sent() {
    // All servers are down. The call has not run, and saying so lets the caller come back safely.
    let mut bench = Bench::start(BenchSpec::default()).await;
    bench.server_links.clear();
    let answer = support::answer(&enrol(&bench)).await;
    assert_eq!(answer.json["error"]["execution"], "not_run", "{answer:?}");
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(bench.served().await.len(), 0);
}

#[actix_rt::test]
async fn another_server() {
    // One of two servers is down. An idempotent call and one of which nothing has left go to the other.
    let mut bench = Bench::start(BenchSpec::default()).await;
    bench.server_links.remove(0);
    let status = bench.call(Method::GET, "/services/phones/phones/17");
    for _ in 0..4 {
        assert_eq!(support::answer(&status).await.status, 200);
        assert_eq!(support::answer(&enrol(&bench)).await.status, 200);
    }
    let enrolments = bench
        .served()
        .await
        .into_iter()
        .filter(|call| call.method == "POST");
    assert_eq!(enrolments.count(), 4);
}

#[actix_rt::test]
async fn frozen_service() {
    // A service freezes with a call on its way and thaws after the caller was answered. Whatever
    // the caller was told, the call must have taken effect at most once.
    let bench = Bench::start(BenchSpec::default()).await;
    for link in &bench.server_links {
        link.set_mode(Fault::Cut);
    }
    let answer = support::answer(&enrol(&bench)).await;
    assert!(answer.status >= 500, "{answer:?}");
    for link in &bench.server_links {
        link.set_mode(Fault::Pass);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let served = bench.served().await.len();
    assert!(served <= 1);
    if answer.json["error"]["execution"] == "not_run" {
        assert_eq!(served, 0);
    }
}
