//! Response streams that break between engine and gateway.

use {
    jasmine_testkit::{
        client::{Call, EndOfStream},
        engine::{EngineSettings, expected_chat_answer, message_with_long_answer},
        harness::{Cluster, ClusterSpec, poll},
    },
    serde_json::json,
    std::time::Duration,
};

/// Connections to the engines break every few tokens. The gateway must resume the stream, or the
/// caller gets a truncated response.
#[actix_web::test]
async fn resumed() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let text = message_with_long_answer("notes-1-v1");
    for engine in 0..cluster.upstreams.engines.len() {
        cluster
            .set_engine_faults(engine, json!({"cut_streams_after": 20}))
            .await
            .unwrap();
    }
    for stream in [true, false] {
        let call = Call::chat(
            cluster.caller_address(1),
            cluster.key("courier"),
            "notes-1",
            &text,
            64,
            stream,
        );
        let answer = call.send().await.unwrap();
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text, expected_chat_answer("notes-1-v1", &text, 64));
        assert_eq!(
            answer.usage["completion_tokens"],
            answer.text.matches(' ').count()
        );
    }
}

/// The engine restarts during a response and loses the stream. Guards against truncated responses
/// that look complete: the stream must end with an error.
#[actix_web::test]
async fn engine_restarted() {
    let spec = ClusterSpec {
        engines: 1,
        engine: EngineSettings::default(),
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start(spec).await.unwrap();
    let text = message_with_long_answer("notes-1-v1");
    let expected = expected_chat_answer("notes-1-v1", &text, 64);
    for stream in [true, false] {
        let call = || {
            Call::chat(
                cluster.caller_address(1),
                cluster.key("courier"),
                "notes-1",
                &text,
                64,
                stream,
            )
        };
        // The adapter is not loaded at first, nor after the restart in the previous iteration.
        let served = || async {
            match call().send().await {
                Ok(answer) if answer.is_complete() => Ok(answer),
                Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
                Err(e) => Err(e.to_string()),
            }
        };
        let (cold, warm) = poll("served", Duration::from_secs(10), served)
            .await
            .unwrap();
        assert_eq!(warm.text, expected);
        let before: u64 = cluster
            .upstreams
            .engine_records()
            .await
            .iter()
            .map(|r| r.tokens)
            .sum();
        let running = call();
        let running = actix_web::rt::spawn(async move { running.send().await });
        cluster.wait_for_tokens(before + 10).await.unwrap();
        cluster
            .set_engine_faults(0, json!({"restart": true}))
            .await
            .unwrap();
        let answer = running.await.unwrap().unwrap();
        println!(
            "served cold after {cold:?}; restarted: {} {:?} {}",
            answer.status,
            answer.end,
            answer.code()
        );
        if answer.is_complete() {
            assert_eq!(answer.text, expected);
        } else {
            assert!(expected.starts_with(&answer.text), "{answer:?}");
            assert!(
                !stream || matches!(answer.end, EndOfStream::Error(_)),
                "{answer:?}"
            );
            assert!(!answer.code().is_empty(), "{answer:?}");
        }
    }
    let last = Call::chat(
        cluster.caller_address(2),
        cluster.key("courier"),
        "notes-1",
        &text,
        64,
        true,
    );
    let last = || async {
        match last.send().await {
            Ok(answer) if answer.is_complete() => Ok(answer.text),
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    let (took, served) = poll("served after the restart", Duration::from_secs(10), last)
        .await
        .unwrap();
    println!("served {took:?} after the last restart");
    assert_eq!(served, expected);
}
