//! Outages and lost replies of the platform's key-value service.

use {
    jasmine_testkit::{
        client::Call,
        harness::{Cluster, ClusterSpec, poll},
    },
    serde_json::{Value, json},
    std::time::Duration,
};

fn set_rate(rate: u64) -> Value {
    json!({"op": "set", "path": "/accounts/clinic", "setting": "rate", "value": rate})
}

/// The key-value service is down for longer than every lease. Callers must be served, also with
/// adapters that are not loaded; edits must fail with an error and work again after the outage.
#[actix_web::test]
async fn served_throughout() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    cluster
        .set_platform_faults(json!({"outage": true}))
        .await
        .unwrap();
    let lease = cluster.spec().lease.to_std();
    tokio::time::sleep(lease * 2).await;
    for (vm, model) in [
        (1, "notes-1"),
        (2, "notes-2"),
        (1, "notes-3"),
        (2, "notes-1"),
    ] {
        let call = Call::chat(
            cluster.caller_address(vm),
            cluster.key("clinic"),
            model,
            "hi",
            16,
            true,
        );
        let answer = call.send().await.unwrap();
        assert!(answer.is_complete(), "{model} at VM {vm}: {answer:?}");
    }
    let refused = cluster
        .edit(1, "in-outage", 1, &[set_rate(500)])
        .await
        .unwrap();
    assert_eq!(refused.status / 100, 5, "{refused:?}");
    assert!(
        ["store_unavailable", "edit_outcome_unknown"].contains(&refused.code()),
        "{refused:?}"
    );
    cluster.set_platform_faults(json!({})).await.unwrap();
    let retry = || async {
        match cluster.edit(1, "in-outage", 1, &[set_rate(500)]).await {
            Ok(answer) if answer.status == 200 => Ok(()),
            Ok(answer) => Err(answer.json.to_string()),
            Err(e) => Err(e.to_string()),
        }
    };
    let (took, ()) = poll("edit accepted", Duration::from_secs(15), retry)
        .await
        .unwrap();
    println!("edit accepted {took:?} after the outage");
    assert_eq!(cluster.revision(1).await.unwrap(), 2);
}

/// The reply to a stored edit is lost. Guards against applying the edit twice on retry, or
/// reporting it as failed.
#[actix_web::test]
async fn lost_reply() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    cluster
        .set_platform_faults(json!({"lose_replies": 1}))
        .await
        .unwrap();
    let first = cluster.edit(1, "lost", 1, &[set_rate(700)]).await.unwrap();
    println!("{} {}", first.status, first.code());
    assert!(
        first.status == 200 || first.code() == "edit_outcome_unknown",
        "{first:?}"
    );
    let retry = cluster.edit(2, "lost", 1, &[set_rate(700)]).await.unwrap();
    assert_eq!(retry.status, 200, "{retry:?}");
    for vm in [1, 2] {
        let check = || async {
            match cluster.revision(vm).await {
                Ok(2) => Ok(()),
                other => Err(format!("{other:?}")),
            }
        };
        poll("revision 2", Duration::from_secs(8), check)
            .await
            .unwrap();
    }
}

/// Two concurrent edits of one setting at two VMs: one must be refused as a conflict that names the
/// path, instead of overwriting the other.
#[actix_web::test]
async fn racing_edits() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let (one, two) = ([set_rate(300)], [set_rate(400)]);
    let (one, two) = futures::join!(
        cluster.edit(1, "one", 1, &one),
        cluster.edit(2, "two", 1, &two)
    );
    let (one, two) = (one.unwrap(), two.unwrap());
    let mut statuses = [one.status, two.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{one:?} {two:?}");
    let loser = if one.status == 409 { one } else { two };
    assert_eq!(loser.code(), "edit_conflict");
    assert!(
        loser.json.to_string().contains("/accounts/clinic"),
        "{loser:?}"
    );
}
