//! Engine responses that belong to another request.

use {
    jasmine_testkit::{
        client::Call,
        engine::expected_chat_answer,
        harness::{Cluster, ClusterSpec},
    },
    serde_json::json,
};

/// Guards against passing one account's response to another when an engine swaps two responses.
#[actix_web::test]
async fn swapped_responses_are_not_forwarded() {
    let spec = ClusterSpec {
        engines: 1,
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start(spec).await.unwrap();
    let (to, key) = (cluster.caller_address(1), cluster.key("clinic"));
    let expected = expected_chat_answer("notes-1-v1", "hello", 20);
    for stream in [true, false] {
        cluster
            .set_engine_faults(0, json!({"crossed_answers": 1}))
            .await
            .unwrap();
        let answer = Call::chat(to, key, "notes-1", "hello", 20, stream)
            .send()
            .await
            .unwrap();
        println!("{} {:?} {}", answer.status, answer.end, answer.code());
        assert!(expected.starts_with(&answer.text), "{answer:?}");
        assert!(
            answer.text == expected || !answer.code().is_empty(),
            "{answer:?}"
        );
        let next = Call::chat(to, key, "notes-1", "hello", 20, stream)
            .send()
            .await
            .unwrap();
        assert_eq!(next.text, expected, "{next:?}");
    }
}
