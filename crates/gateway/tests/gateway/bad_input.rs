//! Invalid requests get a specific error and do not affect other requests.

use {
    crate::support::{self, FixtureSettings, GatewayFixture, KEY},
    awc::http::Method,
    serde_json::json,
    std::{
        cell::RefCell,
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

fn strict_limits() -> FixtureSettings {
    FixtureSettings {
        limits: json!({
            "max_body_bytes": 2048, "max_header_bytes": 2048, "request_read_ms": 1500,
            "max_in_flight": 4,
        }),
        ..FixtureSettings::default()
    }
}

#[actix_rt::test]
async fn invalid_requests() {
    let fixture = GatewayFixture::start(strict_limits()).await;
    let chat = |body| {
        fixture
            .call(Method::POST, "/v1/chat/completions")
            .body(body)
    };
    let one = json!([{"role": "user", "content": "hi"}]);
    let cases = [
        (chat(json!([])), 400, "bad_request"),
        (chat(json!({"messages": one})), 400, "bad_request"),
        (
            chat(json!({"model": "base", "messages": []})),
            400,
            "bad_request",
        ),
        (
            chat(json!({"model": "base", "messages": one, "max_tokens": 0})),
            400,
            "bad_request",
        ),
        (
            chat(json!({"model": "base", "messages": one, "n": 2})),
            400,
            "bad_request",
        ),
        (
            chat(json!({"model": "nobody", "messages": one})),
            404,
            "model_not_found",
        ),
        (
            chat(json!({"model": "notes@9", "messages": one})),
            404,
            "model_not_found",
        ),
        (
            chat(
                json!({"model": "base", "messages": [{"role": "user", "content": "x".repeat(4000)}]}),
            ),
            413,
            "body_too_large",
        ),
        (
            fixture
                .chat("base", "hi", 4, false)
                .header("x-deadline-ms", "soon"),
            400,
            "bad_request",
        ),
        (
            fixture
                .chat("base", "hi", 4, false)
                .header("x-priority", "highest"),
            400,
            "bad_request",
        ),
        (
            fixture
                .chat("base", "hi", 4, false)
                .header("x-pad", &"x".repeat(4000)),
            431,
            "headers_too_large",
        ),
        (
            fixture.chat("base", "hi", 1_000_001, false),
            400,
            "larger_than_burst",
        ),
        (fixture.call(Method::GET, "/v1/nothing"), 404, "not_found"),
        (
            fixture.call(Method::GET, "/services/nobody/x"),
            404,
            "service_not_found",
        ),
        (
            fixture.call(Method::DELETE, "/services/phones/phones/17"),
            404,
            "service_not_found",
        ),
        (
            fixture.call(Method::GET, "/services/phones/phones/%2e%2e"),
            400,
            "bad_request",
        ),
        (
            fixture.call(Method::GET, "/services/phones/phones/a%2fb"),
            400,
            "bad_request",
        ),
    ];
    for (call, status, code) in cases {
        let answer = support::answer(&call).await;
        assert_eq!((answer.status, answer.code()), (status, code), "{call:?}");
        assert!(!answer.header("x-request-id").is_empty());
        assert_eq!(answer.json["error"]["execution"], "not_run");
    }
    let valid_answer = support::answer(&fixture.chat("base", "hi", 4, false)).await;
    assert!(valid_answer.is_complete(), "{valid_answer:?}");
}

#[actix_rt::test]
async fn slow_senders() {
    // Guards against slow senders that occupy all in-flight slots for good.
    let fixture = GatewayFixture::start(strict_limits()).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    let sender = || {
        let mut stream = TcpStream::connect(fixture.gateway.port("callers")).expect("connected");
        stream.write_all(head.as_bytes()).expect("sent");
        stream
    };
    // Leaves one of the four slots to the first check.
    let slow_streams = RefCell::new(vec![sender(), sender(), sender()]);
    let until_full = || async {
        let answer = support::answer(&fixture.chat("base", "hi", 4, false)).await;
        // Adds a sender per check, since the checking request may have taken a slot.
        slow_streams.borrow_mut().push(sender());
        (answer.code() == "queue_full")
            .then_some(())
            .ok_or(answer.code().to_owned())
    };
    jasmine_testkit::harness::poll("full", Duration::from_millis(1200), until_full)
        .await
        .expect("full");
    let until_free = || async {
        let answer = support::answer(&fixture.chat("base", "hi", 4, false)).await;
        answer
            .is_complete()
            .then_some(())
            .ok_or(answer.code().to_owned())
    };
    jasmine_testkit::harness::poll("free", Duration::from_secs(4), until_free)
        .await
        .expect("free");
    let mut text = String::new();
    let mut first = slow_streams.borrow_mut().swap_remove(0);
    first
        .set_read_timeout(Some(Duration::from_secs(2)))
        .expect("a socket");
    let mut buf = [0; 2048];
    while let Ok(n) = first.read(&mut buf) {
        text += &String::from_utf8_lossy(&buf[..n]);
        if n == 0 || text.contains("slow_sender") {
            break;
        }
    }
    assert!(
        text.starts_with("HTTP/1.1 408") && text.contains("slow_sender"),
        "{text}"
    );
}

#[actix_rt::test]
async fn requests_over_the_rate_are_refused() {
    // Guards against delaying requests over the rate instead of refusing them with a retry time.
    let fixture = GatewayFixture::start(FixtureSettings {
        rate: 500,
        burst: 500,
        ..FixtureSettings::default()
    })
    .await;
    let call = fixture.chat("base", "hello", 200, false);
    let answers = futures::future::join_all((0..6).map(|_| support::answer(&call))).await;
    let refused: Vec<_> = answers
        .iter()
        .filter(|answer| !answer.is_complete())
        .collect();
    assert!(!refused.is_empty());
    for answer in refused {
        assert_eq!((answer.status, answer.code()), (429, "rate_limited"));
        assert!(!answer.header("retry-after").is_empty());
        assert!(
            answer.took < Duration::from_millis(900),
            "{:?}",
            answer.took
        );
    }
}

#[actix_rt::test]
async fn slow_reader() {
    // Guards against unbounded buffering for callers that do not read their response.
    let mut settings = FixtureSettings::default();
    settings.engine.step_us = 100;
    let fixture = GatewayFixture::start(settings).await;
    let body =
        json!({"model": "base", "prompt": "x", "max_tokens": 64, "stream": true}).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         x-deadline-ms: 800\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut unread_streams: Vec<_> = (0..50)
        .map(|_| {
            let mut stream =
                TcpStream::connect(fixture.gateway.port("callers")).expect("connected");
            stream.write_all(head.as_bytes()).expect("sent");
            stream
        })
        .collect();
    let answer = support::answer(&fixture.chat("base", "hi", 4, false)).await;
    assert!(answer.is_complete(), "{answer:?}");
    unread_streams.clear();
}
