//! Engines that hang or fail to load adapters.

use {
    jasmine_testkit::{
        client::{Call, post_json},
        harness::{Cluster, ClusterSpec, wait_until_served},
    },
    serde_json::json,
    std::time::{Duration, Instant},
};

fn chat(
    cluster: &Cluster,
    vm: u32,
    model: &str,
) -> Call {
    Call::chat(
        cluster.caller_address(vm),
        cluster.key("courier"),
        model,
        "hi",
        16,
        true,
    )
}

/// One engine fails every load, as with a broken disk cache. Other engines must serve its adapters.
#[actix_web::test]
async fn loads_fail_at_one_engine() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    cluster
        .set_engine_faults(0, json!({"fail_loads": 1000}))
        .await
        .unwrap();
    let mut slowest = Duration::ZERO;
    for n in 1..=6 {
        let answer = chat(&cluster, n % 2 + 1, &format!("notes-{n}"))
            .send()
            .await
            .unwrap();
        assert!(answer.is_complete(), "{answer:?}");
        slowest = slowest.max(answer.took);
    }
    let record = cluster.upstreams.engine_records().await.swap_remove(0);
    println!(
        "the slowest in {slowest:?}, {} loads failed",
        record.failed_loads.len()
    );
    assert!(
        !record.failed_loads.is_empty(),
        "engine 0 got no load, so the fault was not exercised"
    );
}

/// The weights of one version are missing. Its callers must be refused as `not_run` with a retry
/// delay, other adapters must not be affected, and it must be served once the weights are back.
#[actix_web::test]
async fn weights_missing() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let store = cluster.upstreams.weights.address();
    let settings = |failing: &[&str]| json!({"every_ms": 50, "load_ms": 50, "failing": failing});
    post_json(store, "/stand-in/settings", settings(&["notes-1-v1"]))
        .await
        .unwrap();
    let refused = chat(&cluster, 1, "notes-1").send().await.unwrap();
    println!(
        "refused after {:?}, retry after {} s",
        refused.took,
        refused.header("retry-after")
    );
    assert_eq!(
        (refused.status, refused.code()),
        (503, "adapter_load_failed"),
        "{refused:?}"
    );
    assert_eq!(refused.json["error"]["execution"], "not_run");
    assert!(!refused.header("retry-after").is_empty(), "{refused:?}");
    assert!(refused.took < Duration::from_secs(10), "{:?}", refused.took);
    let other = chat(&cluster, 1, "notes-2").send().await.unwrap();
    assert!(other.is_complete(), "{other:?}");
    post_json(store, "/stand-in/settings", settings(&[]))
        .await
        .unwrap();
    let recovery = wait_until_served(&cluster, 1, "notes-1", Duration::from_secs(40)).await;
    println!("served {recovery:?} after the weights were back");
}

/// An engine accepts connections but never responds. Its running requests must end or move to
/// another engine within a bound, and new requests must go to other engines.
#[actix_web::test]
async fn one_engine_hangs() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    for n in 1..=6 {
        wait_until_served(&cluster, 1, &format!("notes-{n}"), Duration::from_secs(10)).await;
    }
    cluster
        .set_engine_faults(0, json!({"hang": true}))
        .await
        .unwrap();
    let calls: Vec<_> = (1..=6)
        .map(|n| chat(&cluster, 1, &format!("notes-{n}")))
        .collect();
    let start = Instant::now();
    let answers = futures::future::join_all(calls.iter().map(Call::send)).await;
    let first = start.elapsed();
    for answer in answers {
        let answer = answer.unwrap();
        assert!(
            answer.is_complete() || !answer.code().is_empty(),
            "{answer:?}"
        );
    }
    assert!(first < Duration::from_secs(30), "{first:?}");
    let mut slowest = Duration::ZERO;
    for n in 1..=6 {
        let took =
            wait_until_served(&cluster, 2, &format!("notes-{n}"), Duration::from_secs(20)).await;
        slowest = slowest.max(took);
    }
    println!("work under way ended within {first:?}, then all served, the slowest in {slowest:?}");
    cluster.set_engine_faults(0, json!({})).await.unwrap();
}
