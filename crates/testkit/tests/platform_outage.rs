//! The platform's key-value service down, or its replies lost.

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

/// The key-value service is down for longer than every lease. Callers are served, cold adapters
/// included; an operator's edit is refused and says so, and goes through once the service is back.
#[actix_web::test]
async fn served_throughout() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    cluster
        .platform_fault(json!({"outage": true}))
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
            cluster.callers(vm),
            cluster.key("clinic"),
            model,
            "hi",
            16,
            true,
        );
        let answer = call.send().await.unwrap();
        assert!(answer.is_whole(), "{model} at VM {vm}: {answer:?}");
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
    cluster.platform_fault(json!({})).await.unwrap();
    let again = || async {
        match cluster.edit(1, "in-outage", 1, &[set_rate(500)]).await {
            Ok(answer) if answer.status == 200 => Ok(()),
            Ok(answer) => Err(answer.json.to_string()),
            Err(e) => Err(e.to_string()),
        }
    };
    let (took, ()) = poll("edit accepted", Duration::from_secs(15), again)
        .await
        .unwrap();
    println!("edit accepted {took:?} after the outage");
    assert_eq!(cluster.revision(1).await.unwrap(), 2);
}

/// The service writes an edit and its reply is lost. An operator who tries again must not get the
/// edit twice, and must not be told that it failed.
#[actix_web::test]
async fn lost_reply() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    cluster
        .platform_fault(json!({"lose_replies": 1}))
        .await
        .unwrap();
    let first = cluster.edit(1, "lost", 1, &[set_rate(700)]).await.unwrap();
    println!("{} {}", first.status, first.code());
    assert!(
        first.status == 200 || first.code() == "edit_outcome_unknown",
        "{first:?}"
    );
    let again = cluster.edit(2, "lost", 1, &[set_rate(700)]).await.unwrap();
    assert_eq!(again.status, 200, "{again:?}");
    for vm in [1, 2] {
        let look = || async {
            match cluster.revision(vm).await {
                Ok(2) => Ok(()),
                other => Err(format!("{other:?}")),
            }
        };
        poll("revision 2", Duration::from_secs(8), look)
            .await
            .unwrap();
    }
}

/// Two operators change the same value at once, at two VMs. One edit is accepted; the other operator
/// is told what changed, instead of one overwriting the other unseen.
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
