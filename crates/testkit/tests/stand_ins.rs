//! Test servers follow their protocols and inject the requested faults.

use {
    awc::http::Method,
    base64::{Engine as _, engine::general_purpose::STANDARD},
    jasmine_testkit::{
        client::{Call, EndOfStream, get_json, post_json},
        engine::{self, EngineSettings, answer},
        platform,
        proxy::{Fault, Proxy},
        service,
        weights::{self, WeightSettings},
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
};

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn b64(text: &str) -> String {
    STANDARD.encode(text)
}

fn fast() -> EngineSettings {
    EngineSettings {
        step_us: 1000,
        ..EngineSettings::default()
    }
}

#[actix_web::test]
async fn compare_and_swap() {
    let running = platform::start(any_port()).unwrap();
    let create = json!({
        "compare": [{"key": b64("k"), "target": "CREATE", "result": "EQUAL", "create_revision": "0"}],
        "success": [{"request_put": {"key": b64("k"), "value": b64("v")}}],
        "failure": [{"request_range": {"key": b64("k")}}],
    });
    let first = post_json(running.address(), "/v3/kv/txn", create.clone())
        .await
        .unwrap();
    let second = post_json(running.address(), "/v3/kv/txn", create)
        .await
        .unwrap();
    assert_eq!(first["succeeded"], true);
    assert_eq!(second["succeeded"], Value::Null);
    let kv = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(
        (&kv["value"], &kv["version"]),
        (&json!(b64("v")), &json!("1"))
    );
}

/// The injected fault must drop the reply of a write that took effect.
#[actix_web::test]
async fn lost_reply() {
    let running = platform::start(any_port()).unwrap();
    let to = running.address();
    post_json(to, "/stand-in/fault", json!({"lose_replies": 1}))
        .await
        .unwrap();
    let put = json!({"key": b64("k"), "value": b64("v")});
    post_json(to, "/v3/kv/put", put).await.unwrap_err();
    let found = post_json(to, "/v3/kv/range", json!({"key": b64("k")}))
        .await
        .unwrap();
    assert_eq!(found["count"], "1");
    let calls = get_json(to, "/stand-in/calls").await.unwrap();
    assert_eq!((&calls["put"], &calls["range"]), (&json!(1), &json!(1)));
}

/// Keys of a lease that is not renewed must be deleted.
#[actix_web::test]
async fn lapsed_lease() {
    let running = platform::start(any_port()).unwrap();
    let to = running.address();
    let lease = post_json(to, "/v3/lease/grant", json!({"TTL": "1"}))
        .await
        .unwrap();
    let put = json!({"key": b64("/a/k"), "value": b64("v"), "lease": lease["ID"]});
    post_json(to, "/v3/kv/put", put).await.unwrap();
    let range = json!({"key": b64("/a/"), "range_end": b64("/a0")});
    let found = post_json(to, "/v3/kv/range", range.clone()).await.unwrap();
    assert_eq!(found["count"], "1");
    for _ in 0..100 {
        let found = post_json(to, "/v3/kv/range", range.clone()).await.unwrap();
        if found["count"] == Value::Null {
            return;
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    panic!("the lease of 1 s did not expire");
}

#[actix_web::test]
async fn deterministic_answers() {
    let store = weights::start(any_port(), WeightSettings::default()).unwrap();
    let cfg = EngineSettings {
        weight_store: Some(store.address()),
        ..fast()
    };
    let running = engine::start(any_port(), cfg).unwrap();
    let to = running.address();
    let order = json!({"instance": "7-2-1", "weights": "w7-2", "fence": 1});
    post_json(to, "/v1/load_adapter", order).await.unwrap();
    let expected = answer("w7-2", "user: hello\n", 20).concat();
    let whole = Call::chat(to, "", "7-2-1", "hello", 20, false).header("x-request-id", "r1");
    let streamed = Call::chat(to, "", "7-2-1", "hello", 20, true).header("x-request-id", "r2");
    let whole = whole.send().await.unwrap();
    let streamed = streamed.send().await.unwrap();
    assert_eq!(
        (whole.text.as_str(), whole.header("x-adapter")),
        (expected.as_str(), "w7-2")
    );
    assert_eq!(
        (streamed.text, &streamed.end),
        (expected, &EndOfStream::Done)
    );
    assert_eq!(streamed.chunk_ids, ["r2"]);
    assert_eq!(streamed.usage, whole.usage);
    let missing = Call::chat(to, "", "8-1-1", "hello", 20, false)
        .send()
        .await
        .unwrap();
    assert_eq!(
        (missing.status, missing.code()),
        (404, "instance_not_loaded")
    );
}

/// A stream whose connection was closed must be resumable by its id and an offset.
#[actix_web::test]
async fn cut_and_resumed() {
    let running = engine::start(any_port(), fast()).unwrap();
    let to = running.address();
    post_json(to, "/stand-in/fault", json!({"cut_streams_after": 5}))
        .await
        .unwrap();
    let cut = Call::chat(to, "", "base", "hello", 16, true)
        .send()
        .await
        .unwrap();
    post_json(to, "/stand-in/fault", json!({})).await.unwrap();
    assert_eq!((cut.parts.len(), &cut.end), (5, &EndOfStream::Cut));
    let rest = format!("/v1/streams/{}?offset=5", cut.header("x-stream"));
    let rest = Call::new(to, Method::GET, &rest).send().await.unwrap();
    let expected = answer("", "user: hello\n", 16).concat();
    assert_eq!(
        (cut.text + &rest.text, rest.end),
        (expected, EndOfStream::Done)
    );
}

/// Only engines that check fencing tokens refuse orders of a former owner.
#[actix_web::test]
async fn late_order() {
    for (checks_fencing, status) in [(true, 409), (false, 200)] {
        let cfg = EngineSettings {
            checks_fencing,
            ..fast()
        };
        let running = engine::start(any_port(), cfg).unwrap();
        let to = running.address();
        let load = json!({"instance": "1-1-5", "weights": "w", "fence": 5});
        post_json(to, "/v1/load_adapter", load).await.unwrap();
        post_json(to, "/v1/fence", json!({"fence": 6}))
            .await
            .unwrap();
        let late = json!({"instance": "1-1-5", "fence": 5});
        let late = Call::new(to, Method::POST, "/v1/unload_adapter")
            .body(late)
            .send()
            .await
            .unwrap();
        assert_eq!(late.status, status);
    }
}

/// A silenced proxy must keep open connections without data and accept new ones.
#[actix_web::test]
async fn silent_link() {
    let running = service::start(any_port()).unwrap();
    let proxy = Proxy::start(any_port(), running.address()).unwrap();
    let client = awc::Client::default();
    let mut call = Call::new(proxy.address(), Method::GET, "/status");
    call.timeout = Duration::from_millis(300);
    assert_eq!(call.send_with(&client).await.unwrap().status, 200);
    proxy.set_mode(Fault::Silent);
    call.send_with(&client).await.unwrap_err();
    assert_eq!(call.send().await.unwrap().status, 200);
}
