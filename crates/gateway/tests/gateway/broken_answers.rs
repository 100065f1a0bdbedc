//! Upstreams in trouble whose answers are no HTTP responses, or claim what no response can.

use {
    crate::support::{self, FixtureSettings, GatewayFixture},
    awc::http::Method,
    jasmine_testkit::{
        client::Call,
        harness::poll,
        proxy::{Link, Proxy, Rewrite},
    },
    serde_json::json,
    std::time::Duration,
};

/// How long an upstream may rest.
const WAIT: Duration = Duration::from_secs(15);

/// What is changed in heads that have a length.
const CHANGES: [(&str, &str); 22] = [
    ("HTTP/1.1 200", "HTTP/1.1 000"),
    ("HTTP/1.1 200", "HTTP/1.1 099"),
    ("HTTP/1.1 200", "HTTP/1.1 600"),
    ("HTTP/1.1 200", "HTTP/1.1 999"),
    ("HTTP/1.1 200", "HTTP/1.1 1000"),
    ("HTTP/1.1 200", "HTTP/1.1 20"),
    ("HTTP/1.1 200", "\r\nHTTP/1.1 200"),
    ("content-type:", "X-Odd : a\r\ncontent-type:"),
    ("content-type:", "X-Odd\t: a\r\ncontent-type:"),
    ("content-type:", "X Odd: a\r\ncontent-type:"),
    ("content-type:", "X\x01Odd: a\r\ncontent-type:"),
    ("content-type:", "X-Odd: a\x01\r\ncontent-type:"),
    ("content-type:", "X-Odd: a\ncontent-type:"),
    ("content-type:", "X-Odd: a\r\n b\r\ncontent-type:"),
    ("content-type:", "content-type : text/plain\r\nX-Was:"),
    ("content-length: ", "content-length : "),
    ("content-length: ", "content-length : 8\r\nX-Was: "),
    ("content-length: ", "content-length\t: 8\r\nX-Was: "),
    ("content-length: ", "content-length: 8\r\ncontent-length: "),
    (
        "content-length: ",
        "transfer-encoding: identity\r\ncontent-length: ",
    ),
    (
        "HTTP/1.1 200",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200",
    ),
    (
        "HTTP/1.1 200",
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 6\r\n\r\nforgedHTTP/1.1 200",
    ),
];

fn set(
    links: &[Proxy],
    change: Option<(&str, &str)>,
) {
    for link in links {
        link.set_rewrite(change.map(|(from, to)| Rewrite::new(from, to)));
    }
}

/// Waits until upstreams, which rest for a moment after broken answers, are used again.
async fn wait_served(call: &Call) {
    let served = || async {
        let answer = support::answer(call).await;
        let is_complete = answer.is_complete();
        is_complete.then_some(()).ok_or(format!("{answer:?}"))
    };
    poll("it is served", WAIT, served).await.unwrap();
}

fn calls(fixture: &GatewayFixture) -> [Call; 2] {
    let path = "/services/phones/phones/17";
    let enrolment = fixture
        .call(Method::POST, &format!("{path}/enrolment"))
        .body(json!({"profile": "field"}));
    [fixture.call(Method::GET, path), enrolment]
}

#[actix_rt::test]
async fn answers_of_services() {
    // Guards against an answer with a blank in the name of a header, whose body may be another one than was sent.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let calls = calls(&fixture);
    for (change, call) in CHANGES.into_iter().zip(calls.iter().cycle()) {
        set(&fixture.server_links, None);
        wait_served(call).await;
        let before = fixture.served_calls().await.len();
        set(&fixture.server_links, Some(change));
        let answer = support::answer(call).await;
        let case = format!("{change:?} {}: {answer:?}", call.method);
        assert_eq!(answer.status, 502, "{case}");
        assert_eq!(answer.header("x-was"), "", "{case}");
        assert_eq!(answer.header("x-odd"), "", "{case}");
        if call.method == Method::POST {
            assert_eq!(fixture.served_calls().await.len(), before + 1, "{case}");
        }
    }
    set(&fixture.server_links, None);
    for call in &calls {
        wait_served(call).await;
    }
}

#[actix_rt::test]
async fn heads_in_single_bytes() {
    // Guards against a head that is passed on as far as one read has it.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    for link in &fixture.server_links {
        link.set(Link {
            piece_bytes: Some(1),
            ..Link::default()
        });
    }
    let [status, _] = calls(&fixture);
    for change in [CHANGES[0], CHANGES[2], CHANGES[7], CHANGES[12], CHANGES[16]] {
        set(&fixture.server_links, None);
        wait_served(&status).await;
        set(&fixture.server_links, Some(change));
        let answer = support::answer(&status).await;
        assert_eq!(answer.status, 502, "{change:?}: {answer:?}");
    }
}

#[actix_rt::test]
async fn another_server_answers() {
    // Guards against an error for a call that another server could have answered.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let [status, _] = calls(&fixture);
    for change in [CHANGES[0], CHANGES[2], CHANGES[7], CHANGES[16]] {
        set(&fixture.server_links[..1], Some(change));
        let met = || async {
            let before = fixture.served_calls().await.len();
            let answer = support::answer(&status).await;
            assert_eq!(answer.status, 200, "{change:?}: {answer:?}");
            assert_eq!(answer.json["method"], "GET", "{change:?}: {answer:?}");
            let runs = fixture.served_calls().await.len() - before;
            (runs == 2).then_some(()).ok_or(format!("{runs} runs"))
        };
        poll("the broken server is met", WAIT, met).await.unwrap();
    }
}

#[actix_rt::test]
async fn sound_interim_responses() {
    // Guards against an interim response that is taken for the answer.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    for interim in [
        "100 Continue\r\nContent-Length: 0",
        "103 Early Hints\r\nLink: a",
    ] {
        let to = format!("HTTP/1.1 {interim}\r\n\r\nHTTP/1.1 200");
        set(&fixture.server_links, Some(("HTTP/1.1 200", &to)));
        for call in calls(&fixture) {
            let answer = support::answer(&call).await;
            assert_eq!(answer.status, 200, "{interim} {}: {answer:?}", call.method);
        }
    }
}

#[actix_rt::test]
async fn answers_of_engines() {
    // Guards against the same for generations.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let older_version = ("HTTP/1.1 200", "HTTP/1.0 200");
    let changes = [
        CHANGES[0],
        CHANGES[2],
        CHANGES[7],
        CHANGES[12],
        older_version,
    ];
    for stream in [true, false] {
        for change in changes {
            set(&fixture.engine_links, None);
            let chat = fixture
                .chat("notes", "hello", 8, stream)
                .header("x-deadline-ms", "1500");
            wait_served(&chat).await;
            set(&fixture.engine_links, Some(change));
            let answer = support::answer(&chat).await;
            assert!(!answer.is_complete(), "{change:?}: {answer:?}");
            assert_eq!(answer.text, "", "{change:?}: {answer:?}");
        }
    }
}
