//! The first requests of a client account, just after it has been made.

use {
    jasmine_conf::{fleet::KeyDigest, hex},
    jasmine_testkit::{
        client::Call,
        harness::{Cluster, ClusterSpec},
    },
    serde_json::{Value, json},
    std::time::{Duration, Instant},
};

/// Accounts made one after the other.
const ACCOUNTS: u32 = 8;

/// Until when the first request must have been taken in.
const BOUND: Duration = Duration::from_secs(10);

/// Within which a gateway that is ready answers; without rights its requests wait until an epoch has begun.
const AT_ONCE: Duration = Duration::from_millis(200);

fn account(n: u32) -> [Value; 2] {
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

/// Sends until the key is known at this VM: how the first request that it knew ended.
async fn first_answer(
    cluster: &Cluster,
    vm: u32,
    key: &str,
) -> String {
    let until = Instant::now() + BOUND;
    loop {
        let call = Call::chat(cluster.callers(vm), key, "base", "hi", 16, true);
        let code = match call.send().await {
            Ok(answer) if answer.is_whole() => "whole".to_owned(),
            Ok(answer) => answer.code().to_owned(),
            Err(e) => e.to_string(),
        };
        if code != "key_unknown" || Instant::now() > until {
            return code;
        }
    }
}

/// An operator makes an account and its first caller calls at once, at whichever VM. Until an epoch has
/// given the account's rights to somebody, no gateway holds any of them. The caller would notice that it is told to
/// slow down although it has never been served before.
#[actix_web::test]
async fn called_at_once() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let mut wrong = Vec::new();
    for n in 0..ACCOUNTS {
        let base = cluster.revision(1).await.unwrap();
        let id = format!("account-{n}");
        let answer = cluster.edit(1, &id, base, &account(n)).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.json);
        let key = key(n);
        let both = futures::join!(
            first_answer(&cluster, 1, &key),
            first_answer(&cluster, 2, &key)
        );
        println!("account {n}: {both:?}");
        wrong.extend([both.0, both.1].into_iter().filter(|code| code != "whole"));
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// All VMs start for the first time, and the first configuration comes when they run. A gateway that says it is
/// ready before an epoch has given out any rights gets callers from the balancer, who would wait, or be told to slow down
/// although they have never been served before.
#[actix_web::test]
async fn ready_at_first_start() {
    for gateways_first in [true, false] {
        let spec = ClusterSpec {
            gateways_first,
            ..ClusterSpec::default()
        };
        let cluster = Cluster::start(spec).await.unwrap();
        let answers = &cluster.answers_when_ready;
        println!("gateways first: {gateways_first}, {answers:?}");
        let at_once = |(status, took): &(u16, Duration)| *status == 200 && *took < AT_ONCE;
        assert!(answers.iter().all(at_once), "{answers:?}");
    }
}
