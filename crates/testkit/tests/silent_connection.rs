//! Half-open connections: still open, but no more data passes.

use {
    awc::http::Method,
    jasmine_testkit::{
        client::Call,
        engine::{EngineSettings, expected_chat_answer, message_with_long_answer},
        harness::{Cluster, ClusterSpec},
        proxy::Fault,
    },
    serde_json::json,
    std::time::Duration,
};

fn proxied() -> ClusterSpec {
    ClusterSpec {
        has_proxied_upstreams: true,
        engine: EngineSettings::default(),
        ..ClusterSpec::default()
    }
}

/// A connection to an engine goes silent during a response. Guards against a stream that hangs until
/// the caller's timeout.
#[actix_web::test]
async fn stream_on_silent_connection() {
    let cluster = Cluster::start(proxied()).await.unwrap();
    let text = message_with_long_answer("notes-1-v1");
    let call = Call::chat(
        cluster.caller_address(1),
        cluster.key("courier"),
        "notes-1",
        &text,
        64,
        true,
    );
    let stream = actix_web::rt::spawn(async move { call.send().await });
    cluster.wait_for_tokens(10).await.unwrap();
    cluster.set_upstream_link_mode(Fault::Silent);
    let answer = stream.await.unwrap().unwrap();
    println!("whole after {:?}", answer.took);
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text, expected_chat_answer("notes-1-v1", &text, 64));
    assert!(answer.took < Duration::from_secs(20), "{:?}", answer.took);
}

/// Guards against sending a non-idempotent call on a dead pooled connection, which leaves its
/// outcome unknown.
#[actix_web::test]
async fn call_on_dead_pooled_connection() {
    let cluster = Cluster::start(proxied()).await.unwrap();
    let (to, key) = (cluster.caller_address(1), cluster.key("courier"));
    let status = Call::new(to, Method::GET, "/services/phones/phones/17").key(key);
    assert_eq!(status.send().await.unwrap().status, 200);
    cluster.set_upstream_link_mode(Fault::Silent);
    let enrol = Call::new(to, Method::POST, "/services/phones/phones/17/enrolment").key(key);
    let answer = enrol.body(json!({})).send().await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.took < Duration::from_secs(2), "{:?}", answer.took);
    let calls = cluster.upstreams.served_calls().await;
    assert_eq!(calls.iter().filter(|call| call.method == "POST").count(), 1);
}
