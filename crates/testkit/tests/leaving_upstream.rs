//! Draining an upstream before it is taken out of service.

use {
    jasmine_testkit::{
        client::Call,
        harness::{Cluster, ClusterSpec, poll},
    },
    serde_json::json,
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How long a leaving upstream may still get new requests, in milliseconds.
const MAX_DRAIN_DELAY_MS: u64 = 4000;

/// Guards against requests sent to a leaving engine, which would be lost when it is switched off.
#[actix_web::test]
async fn no_new_work() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let deadline = Instant::now() + Duration::from_secs(8);
    let client = |vm: u32, adapter: u32| {
        let cluster = &cluster;
        async move {
            let mut failed = Vec::new();
            while Instant::now() < deadline {
                let model = format!("notes-{adapter}");
                let call = Call::chat(
                    cluster.caller_address(vm),
                    cluster.key("clinic"),
                    &model,
                    "hi",
                    16,
                    true,
                );
                match call.send().await {
                    Ok(answer) if answer.is_complete() => {}
                    other => failed.push(format!("{other:?}")),
                }
            }
            failed
        }
    };
    let clients = (1..=6).map(|n| client(n % 2 + 1, n));
    let edit = async {
        let has_requests = || async {
            let records = cluster.upstreams.engine_records().await;
            let ran = records[0].requests.len();
            if ran >= 3 {
                Ok(())
            } else {
                Err(format!("{ran} requests at engine-1"))
            }
        };
        poll("work at engine-1", Duration::from_secs(6), has_requests)
            .await
            .unwrap();
        let op = json!({"op": "set", "path": "/upstreams/engine-1", "setting": "state", "value": "leaving"});
        let accepted = cluster.edit(1, "leave", 1, &[op]).await.unwrap();
        assert_eq!(accepted.status, 200, "{accepted:?}");
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64
    };
    let (failed, left_ms) = futures::join!(futures::future::join_all(clients), edit);
    let failed: Vec<_> = failed.into_iter().flatten().collect();
    let record = cluster.upstreams.engine_records().await.swap_remove(0);
    let last_ms = record
        .requests
        .iter()
        .map(|row| row.start_ms)
        .max()
        .unwrap_or(0);
    println!(
        "{} requests there, the last {} ms after the edit",
        record.requests.len(),
        last_ms.saturating_sub(left_ms)
    );
    assert!(last_ms < left_ms + MAX_DRAIN_DELAY_MS);
    assert!(failed.is_empty(), "{failed:?}");
}
