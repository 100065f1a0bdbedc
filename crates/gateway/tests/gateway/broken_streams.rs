//! Streams that are cut, stall, are mixed up or lose their engine.

use {
    crate::support::{self, FixtureSettings, GatewayFixture},
    jasmine_testkit::{
        client::EndOfStream,
        engine::{EndReason, answer as expected},
        proxy::{Fault, Link},
    },
    serde_json::json,
    std::{
        io::{Read, Write},
        net::{IpAddr, SocketAddr, TcpListener},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
};

/// Prompt with a response long enough to inject faults while it is streamed.
const PROMPT: &str = "a long tale";

fn expected_text() -> String {
    expected("", &format!("user: {PROMPT}\n"), 64).concat()
}

fn slow_engine_settings() -> FixtureSettings {
    let mut settings = FixtureSettings::default();
    settings.engine.step_us = 30_000;
    settings
}

#[actix_rt::test]
async fn cut_connections() {
    // Guards against truncated responses when connections are reset after a few tokens.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    for engine in 0..2 {
        fixture
            .engine_fault(engine, json!({"cut_streams_after": 3}))
            .await;
    }
    for stream in [true, false] {
        let answer = support::answer(&fixture.chat("base", PROMPT, 64, stream)).await;
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text, expected_text());
    }
}

#[actix_rt::test]
async fn silent_connections() {
    // Guards against hanging when open connections stall without an error while new ones work.
    let fixture = GatewayFixture::start(slow_engine_settings()).await;
    for stream in [true, false] {
        let call = fixture.chat("base", PROMPT, 64, stream);
        let silence = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            for link in &fixture.engine_links {
                link.set_mode(Fault::Silent);
            }
        };
        let (answer, ()) = futures::future::join(support::answer(&call), silence).await;
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text, expected_text());
        assert!(answer.took < Duration::from_secs(8), "{:?}", answer.took);
    }
    // The streams were resumed, not run again.
    let ran = fixture.record(0).await.requests.len() + fixture.record(1).await.requests.len();
    assert_eq!(ran, 2);
}

#[actix_rt::test]
async fn crossed_answers() {
    // Guards against delivering the response to another request when an engine mixes up responses.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    for stream in [true, false] {
        for engine in 0..2 {
            fixture
                .engine_fault(engine, json!({"crossed_answers": 1}))
                .await;
        }
        let answer = support::answer(&fixture.chat("base", PROMPT, 64, stream)).await;
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text, expected_text());
    }
}

#[actix_rt::test]
async fn engine_restart() {
    // Guards against a truncated stream that looks complete after an engine restart. A buffered
    // completion is run again on another engine.
    let fixture = GatewayFixture::start(slow_engine_settings()).await;
    for stream in [true, false] {
        let call = fixture.chat("base", PROMPT, 64, stream);
        let restart = async {
            tokio::time::sleep(Duration::from_millis(400)).await;
            for engine in 0..2 {
                fixture.engine_fault(engine, json!({"restart": true})).await;
            }
        };
        let (answer, ()) = futures::future::join(support::answer(&call), restart).await;
        if stream {
            assert_eq!(answer.end, EndOfStream::Error("answer_cut".to_owned()));
            assert!(expected_text().starts_with(&answer.text) && !answer.text.is_empty());
        } else {
            assert!(answer.is_complete(), "{answer:?}");
            assert_eq!(answer.text, expected_text());
        }
    }
}

#[actix_rt::test]
async fn adapter_lost_in_engine_restart() {
    // Guards against failures and wrong weights when an engine has lost its adapters in a restart that
    // the gateway does not know of yet.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let call = fixture.chat("notes", PROMPT, 32, true);
    assert!(support::answer(&call).await.is_complete());
    for engine in 0..2 {
        fixture.engine_fault(engine, json!({"restart": true})).await;
    }
    let answer = support::answer(&call).await;
    assert!(answer.is_complete(), "{answer:?}");
    let prompt = format!("user: {PROMPT}\n");
    assert_eq!(answer.text, expected("notes-v1", &prompt, 32).concat());
    assert_eq!(fixture.controller.state().loaded_instances.len(), 2);
}

#[actix_rt::test]
async fn engine_unreachable() {
    // Guards against failed requests when one engine refuses connections.
    let mut fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.engine_links.remove(0);
    for _ in 0..6 {
        let answer = support::answer(&fixture.chat("base", PROMPT, 16, true)).await;
        assert!(answer.is_complete(), "{answer:?}");
    }
}

#[actix_rt::test]
async fn caller_disconnect_cancels_stream() {
    // Guards against an engine that continues to generate after the caller disconnected.
    let fixture = GatewayFixture::start(slow_engine_settings()).await;
    let call = fixture.chat("base", PROMPT, 64, true);
    let early = tokio::time::timeout(Duration::from_millis(400), call.send()).await;
    assert!(early.is_err());
    let cancelled = || async {
        let mut ran = fixture.record(0).await.requests;
        ran.extend(fixture.record(1).await.requests);
        let ended = ran.first().and_then(|ran| ran.ended);
        (ended == Some(EndReason::Cancelled))
            .then_some(())
            .ok_or(format!("{ended:?}"))
    };
    jasmine_testkit::harness::poll("cancelled", Duration::from_secs(3), cancelled)
        .await
        .expect("a cancelled stream");
}

/// Starts a server on `host` that sends `bytes` on each connection and closes it.
fn serve_raw_response(
    host: IpAddr,
    bytes: &'static str,
) -> (SocketAddr, Arc<AtomicU32>) {
    let request_count = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&request_count);
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut buf = [0; 4096];
            let was_read = stream.read(&mut buf).is_ok();
            count.fetch_add(1, Ordering::SeqCst);
            assert!(was_read && stream.write_all(bytes.as_bytes()).is_ok());
        }
    });
    (address, request_count)
}

#[actix_rt::test]
async fn body_cut_between_chunks() {
    // Guards against a truncated body that looks complete, and a lost call that is reported as not run:
    // `awc` treats the closed connection as the end of the body or as a connect error.
    let fixture = GatewayFixture::start(FixtureSettings {
        servers: 1,
        ..FixtureSettings::default()
    })
    .await;
    let enrolment = fixture
        .call(
            awc::http::Method::POST,
            "/services/phones/phones/17/enrolment",
        )
        .body(json!({}));
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
    let mut previous = "server-1".to_owned();
    for (n, bytes) in [chunked, "HTTP/1.1 200 OK\r\n\r\nhello", ""]
        .into_iter()
        .enumerate()
    {
        let name = format!("odd-{n}");
        let (address, request_count) = serve_raw_response(fixture.host, bytes);
        let address = address.to_string();
        fixture.controller.edit(json!([
            {"op": "delete", "path": format!("/upstreams/{previous}")},
            {
                "op": "create", "path": format!("/upstreams/{name}"), "kind": "server",
                "settings": {"address": address, "service": "phones", "data_centre": "dc-1"},
            },
        ]));
        previous = name;
        // Until the edit takes effect, the call reaches the previous server.
        let check = || async {
            let answer = support::answer(&enrolment).await;
            let reached = request_count.load(Ordering::SeqCst) > 0;
            reached.then_some(answer).ok_or("another server".to_owned())
        };
        let (_, answer) = jasmine_testkit::harness::poll("reached", Duration::from_secs(3), check)
            .await
            .expect("reached");
        assert_eq!(answer.code(), "upstream_lost", "{answer:?}");
        assert_eq!(answer.json["error"]["execution"], "outcome_unknown");
    }
}

#[actix_rt::test]
async fn redirect_is_not_followed() {
    // Guards against running a non-idempotent call twice by following a redirect.
    let fixture = GatewayFixture::start(FixtureSettings {
        servers: 0,
        ..FixtureSettings::default()
    })
    .await;
    let (address, request_count) = serve_raw_response(
        fixture.host,
        "HTTP/1.1 307 Temporary Redirect\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n",
    );
    fixture.controller.edit(json!([{
        "op": "create", "path": "/upstreams/odd", "kind": "server",
        "settings": {"address": address.to_string(), "service": "phones", "data_centre": "dc-1"},
    }]));
    let enrolment = fixture
        .call(
            awc::http::Method::POST,
            "/services/phones/phones/17/enrolment",
        )
        .body(json!({}));
    let check = || async {
        let client = awc::Client::builder().disable_redirects().finish();
        let answer = enrolment.send_with(&client).await.expect("an answer");
        (answer.status == 307)
            .then_some(())
            .ok_or(format!("{answer:?}"))
    };
    jasmine_testkit::harness::poll("redirect", Duration::from_secs(3), check)
        .await
        .expect("the service's own answer");
    assert_eq!(request_count.load(Ordering::SeqCst), 1);
}

#[actix_rt::test]
async fn truncated_body() {
    // Guards against a truncated body that looks complete when a server dies while writing it.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    for link in &fixture.server_links {
        // Long enough for the response head, but not for the body.
        let short: Link = serde_json::from_value(json!({"close_after": 150})).expect("a link");
        link.set(short);
    }
    let enrolment = fixture
        .call(
            awc::http::Method::POST,
            "/services/phones/phones/17/enrolment",
        )
        .body(json!({}));
    let answer = support::answer(&enrolment).await;
    assert_eq!(answer.code(), "upstream_lost", "{answer:?}");
    assert_eq!(answer.json["error"]["execution"], "outcome_unknown");
}
