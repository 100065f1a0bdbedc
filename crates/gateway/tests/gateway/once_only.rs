//! Calls that may not be repeated, and the truth of `not_run`.

use {
    crate::support::{self, FixtureSettings, GatewayFixture},
    awc::http::Method,
    jasmine_testkit::{client::Call, proxy::Fault},
    serde_json::json,
    std::time::Duration,
};

fn enrolment(fixture: &GatewayFixture) -> Call {
    fixture
        .call(Method::POST, "/services/phones/phones/17/enrolment")
        .header("x-deadline-ms", "1500")
        .body(json!({"profile": "field"}))
}

#[actix_rt::test]
async fn lost_reply() {
    // The service takes a call and its answer is lost. Sent again, the call would wipe a phone that has
    // just been set up; told "not run", the caller would send it again itself.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_fault(json!({"lose_replies": 2})).await;
    let answer = support::answer(&enrolment(&fixture)).await;
    assert_eq!(answer.code(), "upstream_lost", "{answer:?}");
    assert_eq!(answer.json["error"]["execution"], "outcome_unknown");
    assert_eq!(fixture.served_calls().await.len(), 1);
}

#[actix_rt::test]
async fn silent_service() {
    // The connection goes silent after the call has left. Nobody knows whether it ran.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_fault(json!({"delay_ms": 60_000})).await;
    let answer = support::answer(&enrolment(&fixture)).await;
    assert_eq!(answer.code(), "deadline_exceeded", "{answer:?}");
    assert_eq!(answer.json["error"]["execution"], "outcome_unknown");
    assert_eq!(fixture.served_calls().await.len(), 1);
}

#[actix_rt::test]
async fn silent_pool() {
    // Connections that were used before have silently died; new ones work. Sent over an old one, a call
    // that may not be repeated is lost, and its caller can't know whether it ran.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let status = fixture.call(Method::GET, "/services/phones/phones/17");
    // Enough for each worker to have used a connection to each server.
    for _ in 0..60 {
        assert_eq!(support::answer(&status).await.status, 200);
    }
    for link in &fixture.server_links {
        link.set_mode(Fault::Silent);
    }
    for _ in 0..12 {
        assert_eq!(support::answer(&enrolment(&fixture)).await.status, 200);
    }
    // An idempotent one is tried again on a fresh connection.
    assert_eq!(support::answer(&status).await.status, 200);
}

#[actix_rt::test]
async fn nothing_sent() {
    // All servers are down. The call has not run, and saying so lets the caller come back safely.
    let mut fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_links.clear();
    let answer = support::answer(&enrolment(&fixture)).await;
    assert_eq!(answer.json["error"]["execution"], "not_run", "{answer:?}");
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(fixture.served_calls().await.len(), 0);
}

#[actix_rt::test]
async fn another_server() {
    // One of two servers is down. An idempotent call and one of which nothing has left go to the other.
    let mut fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_links.remove(0);
    let status = fixture.call(Method::GET, "/services/phones/phones/17");
    for _ in 0..4 {
        assert_eq!(support::answer(&status).await.status, 200);
        assert_eq!(support::answer(&enrolment(&fixture)).await.status, 200);
    }
    let enrolments = fixture
        .served_calls()
        .await
        .into_iter()
        .filter(|call| call.method == "POST");
    assert_eq!(enrolments.count(), 4);
}

#[actix_rt::test]
async fn frozen_service() {
    // A service freezes with a call on its way and thaws after the caller was answered. Whatever
    // the caller was told, the call must have taken effect at most once.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    for link in &fixture.server_links {
        link.set_mode(Fault::Cut);
    }
    let answer = support::answer(&enrolment(&fixture)).await;
    assert!(answer.status >= 500, "{answer:?}");
    for link in &fixture.server_links {
        link.set_mode(Fault::Pass);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let served_calls = fixture.served_calls().await.len();
    assert!(served_calls <= 1);
    if answer.json["error"]["execution"] == "not_run" {
        assert_eq!(served_calls, 0);
    }
}
