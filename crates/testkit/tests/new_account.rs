//! First requests of a newly created client account.

use {
    jasmine_conf::{fleet::KeyDigest, hex},
    jasmine_testkit::{
        client::Call,
        harness::{Cluster, ClusterSpec},
    },
    serde_json::{Value, json},
    std::time::{Duration, Instant},
};

/// Accounts created one after another.
const ACCOUNTS: u32 = 8;

/// How long a new key may stay unknown to a gateway.
const KEY_KNOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest response time of a ready gateway; without rights, requests wait for the next epoch.
const MAX_READY_LATENCY: Duration = Duration::from_millis(200);

fn create_account_ops(n: u32) -> [Value; 2] {
    let path = format!("/accounts/new-{n}");
    let digest = hex::encode(&KeyDigest::of(&key(n)).0);
    [
        json!({"op": "create", "path": path, "kind": "account", "settings": {"rate": 100, "burst": 1000}}),
        json!({"op": "create", "path": format!("{path}/first"), "kind": "key", "settings": {"digest": digest}}),
    ]
}

fn key(n: u32) -> String {
    format!("new-{n}-{n:032x}")
}

/// Retries until the VM knows the key; returns the outcome of the first accepted request.
async fn first_answer(
    cluster: &Cluster,
    vm: u32,
    key: &str,
) -> String {
    let deadline = Instant::now() + KEY_KNOWN_TIMEOUT;
    loop {
        let call = Call::chat(cluster.caller_address(vm), key, "base", "hi", 16, true);
        let code = match call.send().await {
            Ok(answer) if answer.is_complete() => "whole".to_owned(),
            Ok(answer) => answer.code().to_owned(),
            Err(e) => e.to_string(),
        };
        if code != "key_unknown" || Instant::now() > deadline {
            return code;
        }
    }
}

/// Guards against rate-limiting the first requests of a new account, sent before an epoch has
/// granted its rights to any gateway.
#[actix_web::test]
async fn new_account_is_not_rate_limited() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let mut failures = Vec::new();
    for n in 0..ACCOUNTS {
        let base = cluster.revision(1).await.unwrap();
        let id = format!("account-{n}");
        let answer = cluster
            .edit(1, &id, base, &create_account_ops(n))
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{}", answer.json);
        let key = key(n);
        let outcomes = futures::join!(
            first_answer(&cluster, 1, &key),
            first_answer(&cluster, 2, &key)
        );
        println!("account {n}: {outcomes:?}");
        failures.extend(
            [outcomes.0, outcomes.1]
                .into_iter()
                .filter(|code| code != "whole"),
        );
    }
    assert!(failures.is_empty(), "{failures:?}");
}

/// Guards against gateways that report ready on first start before an epoch has granted any
/// rights: the balancer would send them requests that wait or are rate-limited.
#[actix_web::test]
async fn ready_only_with_rights_at_first_start() {
    for has_early_gateways in [true, false] {
        let spec = ClusterSpec {
            has_early_gateways,
            ..ClusterSpec::default()
        };
        let cluster = Cluster::start(spec).await.unwrap();
        let answers = &cluster.answers_after_ready;
        println!("gateways first: {has_early_gateways}, {answers:?}");
        let is_prompt =
            |(status, took): &(u16, Duration)| *status == 200 && *took < MAX_READY_LATENCY;
        assert!(answers.iter().all(is_prompt), "{answers:?}");
    }
}
