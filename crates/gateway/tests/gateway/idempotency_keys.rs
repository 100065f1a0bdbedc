//! `Idempotency-Key`: retries get the response of the first run, also around store outages.

use {
    crate::support::{self, FixtureSettings, GatewayFixture},
    awc::http::Method,
    jasmine_testkit::client::Call,
    serde_json::json,
    std::time::Duration,
};

fn enrolment(
    fixture: &GatewayFixture,
    key: &str,
    profile: &str,
) -> Call {
    fixture
        .call(Method::POST, "/services/phones/phones/17/enrolment")
        .header("idempotency-key", key)
        .header("x-deadline-ms", "2000")
        .body(json!({"profile": profile}))
}

#[actix_rt::test]
async fn retried_call_is_replayed() {
    // Guards against running a call twice when its caller retries it.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let first = support::answer(&enrolment(&fixture, "a-1", "field")).await;
    assert_eq!(first.status, 200);
    let again = || async {
        let answer = support::answer(&enrolment(&fixture, "\"a-1\"", "field")).await;
        (answer.status == 200)
            .then_some(answer.clone())
            .ok_or(format!("{answer:?}"))
    };
    let (_, again) = jasmine_testkit::harness::poll("answer", Duration::from_secs(3), again)
        .await
        .expect("an answer");
    assert_eq!(again.json, first.json);
    assert_eq!(again.header("idempotency-replayed"), "true");
    let other = support::answer(&enrolment(&fixture, "a-1", "office")).await;
    assert_eq!((other.status, other.code()), (422, "claim_mismatch"));
    assert_eq!(fixture.served_calls().await.len(), 1);
}

#[actix_rt::test]
async fn retry_right_after_the_answer_is_replayed() {
    // Guards against `claim_running` for a retry right after the response while the store is slow.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.controller.state().claim_store_delay = Duration::from_millis(200);
    let first = support::answer(&enrolment(&fixture, "c-1", "field")).await;
    assert_eq!(first.status, 200);
    let again = support::answer(&enrolment(&fixture, "c-1", "field")).await;
    assert_eq!((again.status, &again.json), (200, &first.json), "{again:?}");
    assert_eq!(again.header("idempotency-replayed"), "true");
    assert_eq!(fixture.served_calls().await.len(), 1);
}

#[actix_rt::test]
async fn concurrent_copies_run_once() {
    // Guards against running concurrent copies of one call more than once.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_fault(json!({"delay_ms": 300})).await;
    let call = enrolment(&fixture, "b-1", "field");
    let answers = futures::future::join_all((0..8).map(|_| support::answer(&call))).await;
    let ran = answers.iter().filter(|answer| answer.status == 200).count();
    let running = answers
        .iter()
        .filter(|answer| answer.code() == "claim_running")
        .count();
    assert_eq!((ran, running), (1, 7));
    assert_eq!(fixture.served_calls().await.len(), 1);
}

#[actix_rt::test]
async fn claimed_call_outlives_its_caller() {
    // Guards against aborting a claimed call, or losing its response, when the caller disconnects.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_fault(json!({"delay_ms": 600})).await;
    let call = enrolment(&fixture, "c-1", "field");
    assert!(
        tokio::time::timeout(Duration::from_millis(200), call.send())
            .await
            .is_err()
    );
    let check = || async {
        let answer = support::answer(&call).await;
        (answer.status == 200)
            .then_some(())
            .ok_or(format!("{answer:?}"))
    };
    jasmine_testkit::harness::poll("answer", Duration::from_secs(4), check)
        .await
        .expect("the first run's answer");
    assert_eq!(fixture.served_calls().await.len(), 1);
}

#[actix_rt::test]
async fn store_out() {
    // Guards against running a call without a recorded claim while the store is unavailable.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.controller.state().accepts_claims = false;
    let answer = support::answer(&enrolment(&fixture, "d-1", "field")).await;
    assert_eq!(answer.code(), "claim_unavailable");
    assert_eq!(answer.json["error"]["execution"], "not_run");
    assert_eq!(answer.header("retry-after"), "5");
    assert_eq!(fixture.served_calls().await.len(), 0);
    let status = fixture.call(Method::GET, "/services/phones/phones/17");
    assert_eq!(support::answer(&status).await.status, 200);
}

#[actix_rt::test]
async fn claim_of_a_call_not_run_is_released() {
    // Guards against `claim_running` for retries of a call that did not run.
    let mut fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_links.clear();
    let answer = support::answer(&enrolment(&fixture, "e-1", "field")).await;
    assert_eq!(answer.json["error"]["execution"], "not_run", "{answer:?}");
    let given_back = || async {
        let open = fixture.controller.state().claims.len();
        (open == 0).then_some(()).ok_or(format!("{open}"))
    };
    jasmine_testkit::harness::poll("given back", Duration::from_secs(2), given_back)
        .await
        .expect("no claim left");
}

#[actix_rt::test]
async fn unknown_outcome_is_not_run_again() {
    // Guards against running a call again, or reporting `not_run`, after its response was lost.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.server_fault(json!({"lose_replies": 1})).await;
    let call = enrolment(&fixture, "f-1", "field");
    assert_eq!(support::answer(&call).await.code(), "upstream_lost");
    let again = support::answer(&call).await;
    assert_eq!(again.code(), "claim_running");
    assert_eq!(again.json["error"]["execution"], "outcome_unknown");
    assert_eq!(fixture.served_calls().await.len(), 1);
}
