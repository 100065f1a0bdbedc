//! API keys: unknown and withdrawn keys are refused, and no key reaches an upstream.

use {
    crate::support::{self, FixtureSettings, GatewayFixture, KEY},
    awc::http::Method,
    jasmine_testkit::client::{Call, EndOfStream},
    serde_json::json,
    std::time::{Duration, Instant},
};

#[actix_rt::test]
async fn unknown_keys() {
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let port = fixture.gateway.port("callers");
    let cases = [
        (None, "key_missing"),
        (Some("Bearer"), "key_missing"),
        (Some("Bearer short"), "key_missing"),
        (Some("Basic Y2xpbmljOmtleQ=="), "key_missing"),
        (Some("Bearer nobody-ever-issued-this"), "key_unknown"),
    ];
    for (value, code) in cases {
        let mut call = Call::new(port, Method::GET, "/v1/models");
        if let Some(value) = value {
            call = call.header("authorization", value);
        }
        let answer = support::answer(&call).await;
        assert_eq!((answer.status, answer.code()), (401, code));
        assert_eq!(
            answer.json["error"]["request_id"],
            answer.header("x-request-id")
        );
    }
}

#[actix_rt::test]
async fn key_withdrawn_during_stream() {
    // Guards against streams that continue after their key has been withdrawn.
    let mut settings = FixtureSettings::default();
    settings.engine.step_us = 50_000;
    let fixture = GatewayFixture::start(settings).await;
    let withdrawal = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        fixture.controller.edit(json!([
            {"op": "set", "path": "/accounts/clinic/first", "setting": "withdrawn", "value": true},
        ]));
        Instant::now()
    };
    let call = fixture.chat("base", "a long tale", 64, true);
    let (answer, withdrawn) = futures::future::join(call.send(), withdrawal).await;
    let answer = answer.expect("an answer");
    let took = withdrawn.elapsed();
    assert_eq!(
        answer.end,
        EndOfStream::Error("key_withdrawn_midway".to_owned())
    );
    assert!(!answer.text.is_empty());
    assert!(took < Duration::from_secs(2), "{took:?}");
    println!("withdrawn key's stream ended after {took:?}");
    let again = support::answer(&call).await;
    assert_eq!((again.status, again.code()), (401, "key_withdrawn"));
}

#[actix_rt::test]
async fn key_in_request_is_not_forwarded() {
    // Guards against leaking a key to upstreams and logs when a client also sends it in other places.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let port = fixture.gateway.port("callers");
    let escaped = KEY.replace('c', "%63");
    let refused = [
        fixture.chat("base", &format!("my key is {KEY}, thanks"), 8, false),
        fixture.call(Method::GET, &format!("/services/phones/phones/{KEY}")),
        fixture.call(
            Method::GET,
            &format!("/services/phones/phones/17?key={KEY}"),
        ),
        fixture.call(
            Method::GET,
            &format!("/services/phones/phones/17?key={escaped}"),
        ),
        fixture
            .call(Method::GET, "/services/phones/phones/17")
            .header("accept-language", KEY),
        fixture
            .call(Method::POST, "/services/phones/phones/17/enrolment")
            .body(json!({"token": KEY})),
        fixture
            .call(Method::POST, "/services/phones/phones/17/enrolment")
            .header("idempotency-key", KEY),
    ];
    for call in refused {
        let answer = support::answer(&call).await;
        assert_eq!(
            (answer.status, answer.code()),
            (400, "bad_request"),
            "{call:?}"
        );
    }
    let unescaped = format!(
        r#"{{"model":"base","prompt":"\u00{:02x}{}"}}"#,
        KEY.as_bytes()[0],
        &KEY[1..]
    );
    let answer = awc::Client::default()
        .post(format!("http://{port}/v1/completions"))
        .insert_header(("authorization", format!("Bearer {KEY}")))
        .send_body(unescaped)
        .await
        .expect("an answer");
    assert_eq!(answer.status().as_u16(), 400);
    // Forwarded requests do not contain the key, even if other headers do.
    let allowed = [
        fixture.chat("base", "hello", 8, true),
        fixture.call(Method::GET, "/services/phones/phones/17"),
    ];
    for call in allowed {
        let call = call
            .header("x-request-id", KEY)
            .header("x-api-key", KEY)
            .header("cookie", &format!("key={KEY}"));
        let answer = support::answer(&call).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_ne!(answer.header("x-request-id"), KEY);
    }
    let mut seen = format!("{:?}", fixture.served_calls().await);
    for engine in 0..2 {
        seen.extend(fixture.record(engine).await.seen);
    }
    assert!(seen.contains("clinic"));
    assert!(!seen.contains(KEY));
    let logged = || async {
        let log = fixture.gateway.lines().join("\n");
        // One line for each forwarded request.
        (log.matches("event=request ").count() == 2)
            .then_some(log.clone())
            .ok_or(log)
    };
    let (_, log) = jasmine_testkit::harness::poll("logged", Duration::from_secs(3), logged)
        .await
        .expect("two lines");
    assert!(!log.contains(KEY) && !log.contains("hello"), "{log}");
}

#[actix_rt::test]
async fn adapter_access_is_enforced() {
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.controller.edit(json!([
        {"op": "set", "path": "/adapters/notes", "setting": "access", "value": ["courier"]},
    ]));
    let call = fixture.chat("notes", "hello", 8, false);
    let check = || async {
        let answer = support::answer(&call).await;
        (answer.status == 403)
            .then_some(())
            .ok_or(format!("{answer:?}"))
    };
    jasmine_testkit::harness::poll("not permitted", Duration::from_secs(3), check)
        .await
        .expect("a refusal");
    let models = support::answer(&fixture.call(Method::GET, "/v1/models")).await;
    assert_eq!(models.json["data"].as_array().map(Vec::len), Some(1));
}
