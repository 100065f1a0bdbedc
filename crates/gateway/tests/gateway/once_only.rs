//! Non-idempotent calls run at most once, and `not_run` is reported only if nothing ran.

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
    // Guards against running a call again, or reporting `not_run`, after its response was lost.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_fault(json!({"lose_replies": 2})).await;
    let answer = support::answer(&enrolment(&fixture)).await;
    assert_eq!(answer.code(), "upstream_lost", "{answer:?}");
    assert_eq!(answer.json["error"]["execution"], "outcome_unknown");
    let served_calls = fixture.served_calls().await;
    assert_eq!(served_calls.len(), 1, "{served_calls:?}");
}

#[actix_rt::test]
async fn silent_service() {
    // Guards against reporting `not_run` when the service stops responding after the call was sent.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_fault(json!({"delay_ms": 60_000})).await;
    let answer = support::answer(&enrolment(&fixture)).await;
    assert_eq!(answer.code(), "deadline_exceeded", "{answer:?}");
    assert_eq!(answer.json["error"]["execution"], "outcome_unknown");
    let served_calls = fixture.served_calls().await;
    assert_eq!(served_calls.len(), 1, "{served_calls:?}");
}

#[actix_rt::test]
async fn silent_pooled_connections() {
    // Guards against sending a non-idempotent call over a pooled connection that was dropped silently.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let status = fixture.call(Method::GET, "/services/phones/phones/17");
    // Enough calls for each worker to pool a connection to each server.
    for _ in 0..60 {
        assert_eq!(support::answer(&status).await.status, 200);
    }
    for link in &fixture.server_links {
        link.set_mode(Fault::Silent);
    }
    for _ in 0..12 {
        assert_eq!(support::answer(&enrolment(&fixture)).await.status, 200);
    }
    // An idempotent call is retried on a new connection.
    assert_eq!(support::answer(&status).await.status, 200);
}

#[actix_rt::test]
async fn unreachable_service_is_not_run() {
    // Guards against an unknown outcome for a call when no server is reachable.
    let mut fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_links.clear();
    let answer = support::answer(&enrolment(&fixture)).await;
    assert_eq!(answer.json["error"]["execution"], "not_run", "{answer:?}");
    assert!(!answer.header("retry-after").is_empty());
    assert_eq!(fixture.served_calls().await.len(), 0);
}

#[actix_rt::test]
async fn calls_use_another_server() {
    // Guards against failed calls while one of two servers is down and nothing was sent to it.
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
    // Guards against running a call twice, or after `not_run`, when connections to the service recover
    // after the response.
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
