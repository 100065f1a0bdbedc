//! Requests through a gateway process without faults.

use {
    crate::support::{self, FixtureSettings, GatewayFixture, KEY},
    awc::http::Method,
    jasmine_testkit::engine::answer as expected,
    serde_json::json,
};

fn tokens(
    weights: &str,
    prompt: &str,
    max_tokens: u32,
) -> String {
    expected(weights, &format!("user: {prompt}\n"), max_tokens).concat()
}

#[actix_rt::test]
async fn streamed_and_buffered_answers() {
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    for (model, weights) in [("notes", "notes-v1"), ("notes@2", "notes-v2"), ("base", "")] {
        for stream in [true, false] {
            let call = fixture.chat(model, "hello", 40, stream);
            let answer = support::answer(&call).await;
            assert!(answer.is_complete(), "{answer:?}");
            assert_eq!(
                answer.text,
                tokens(weights, "hello", 40),
                "{model} {stream}"
            );
            assert!(!answer.header("x-request-id").is_empty());
        }
    }
    let call = fixture
        .chat("notes", "hello", 40, true)
        .header("x-request-id", "my-own.1");
    let answer = support::answer(&call).await;
    assert_eq!(answer.header("x-request-id"), "my-own.1");
    assert_eq!(answer.header("x-jasmine-adapter"), "notes@1");
    assert_eq!(answer.chunk_ids, ["my-own.1"]);
}

#[actix_rt::test]
async fn concurrent_requests_cause_one_load() {
    // Guards against a load per request, and against extra copies while the first one has room.
    let mut settings = FixtureSettings::default();
    // A batch that 20 requests fill justifies a second copy.
    settings.engine.max_batch = 32;
    // All requests run while the gateway looks several times whether one more copy is due.
    settings.engine.step_us = 20_000;
    let fixture = GatewayFixture::start(settings).await;
    let call = fixture.chat("notes", "hello", 20, true);
    let answers = futures::future::join_all((0..20).map(|_| call.send())).await;
    assert!(
        answers
            .into_iter()
            .all(|answer| answer.is_ok_and(|answer| answer.is_complete()))
    );
    assert_eq!(fixture.controller.state().loaded_instances.len(), 1);
}

#[actix_rt::test]
async fn model_list() {
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let answer = support::answer(&fixture.call(Method::GET, "/v1/models")).await;
    let ids: Vec<_> = answer.json["data"]
        .as_array()
        .expect("a list")
        .iter()
        .map(|row| row["id"].clone())
        .collect();
    assert_eq!(
        ids,
        ["base", "notes", "notes@1", "notes@2"].map(|id| json!(id))
    );
}

#[actix_rt::test]
async fn plain_service() {
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let status = fixture.call(Method::GET, "/services/phones/phones/17?full=yes");
    let answer = support::answer(&status).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.json["path"], "/phones/17?full=yes");
    let enrolment = fixture
        .call(Method::POST, "/services/phones/phones/17/enrolment")
        .body(json!({"profile": "field"}));
    let answer = support::answer(&enrolment).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let served_calls = fixture.served_calls().await;
    assert_eq!(served_calls.len(), 2);
    for call in &served_calls {
        assert_eq!(call.account, "clinic");
        assert!(!format!("{call:?}").contains(KEY));
    }
}
