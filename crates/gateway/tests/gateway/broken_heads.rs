//! Upstreams whose connections end anywhere in the head of an answer.

use {
    crate::support::{FixtureSettings, GatewayFixture},
    awc::http::Method,
    jasmine_testkit::{client::Call, proxy::Link},
    serde_json::json,
};

/// Step from one place of the end to the next, in bytes.
const STEP: usize = 7;
/// Bytes of a head, about.
const HEAD_BYTES: u64 = 160;

/// Ends the answers to a call after each number of bytes, and checks that none looks whole.
async fn end_in_heads(
    fixture: &GatewayFixture,
    call: &Call,
) {
    for close_after in (1..HEAD_BYTES).step_by(STEP) {
        for link in fixture.server_links.iter().chain(&fixture.engine_links) {
            link.set(Link {
                close_after: Some(close_after),
                ..Link::default()
            });
        }
        let answer = call.send().await;
        let is_whole = answer.as_ref().is_ok_and(|answer| answer.status == 200);
        assert!(!is_whole, "ended after {close_after}: {answer:?}");
    }
}

#[actix_rt::test]
async fn half_heads_of_services() {
    // Guards against a 200 for a call whose server stopped in the middle of its head.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let enrolment = fixture
        .call(Method::POST, "/services/phones/phones/17/enrolment")
        .body(json!({"profile": "field"}));
    end_in_heads(&fixture, &enrolment).await;
    let status = fixture.call(Method::GET, "/services/phones/phones/17");
    end_in_heads(&fixture, &status).await;
}

#[actix_rt::test]
async fn half_heads_of_engines() {
    // Guards against the same for an answer of an engine that is passed on as a whole.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let chat = fixture
        .chat("notes", "hello", 40, false)
        .header("x-deadline-ms", "500");
    end_in_heads(&fixture, &chat).await;
}
