//! Outages and stalls of the platform's key-value service.

mod support;

use {
    jasmine_testkit::harness::poll,
    serde_json::json,
    std::time::Duration,
    support::{Fleet, LEASE_EXPIRY_TIMEOUT, REPLY_TIMEOUT, account},
};

/// Guards against losing the configuration, or rejecting edits permanently, after a store outage that
/// outlasts every lease.
#[actix_web::test]
async fn edits_resume_after_store_outage() {
    let fleet = Fleet::start(2).await;
    assert_eq!(fleet.edit(1, "before", account("clinic")).await.status, 200);
    fleet.wait_revision(2, 1).await;

    fleet.fault(json!({"outage": true})).await;
    let refused = fleet.edit(1, "during", account("bakery")).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.json["error"]["code"], "store_unavailable");
    assert_eq!(refused.json["error"]["execution"], "not_run");
    let look = || async {
        let status = fleet.get(2, "/v1/fleet").await;
        match status["store_up"].as_bool() {
            Some(false) => Ok(()),
            _ => Err(status.to_string()),
        }
    };
    poll("store reported as unavailable", REPLY_TIMEOUT, look)
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(fleet.revision(2).await, 1);

    fleet.fault(json!({})).await;
    let look = || async {
        match fleet.edit(2, "after", account("bakery")).await {
            answer if answer.status == 200 => Ok(()),
            answer => Err(format!("{answer:?}")),
        }
    };
    let (back, ()) = poll("edit accepted again", REPLY_TIMEOUT, look)
        .await
        .unwrap();
    let everywhere = fleet.wait_revision(1, 2).await;
    println!(
        "edit accepted {back:?} after the store recovered, applied at the other VM {everywhere:?} later"
    );
    fleet.wait_ready(1).await;
    fleet.wait_ready(2).await;
}

/// Guards against missing edits, such as a key revocation, while watches stall and other calls work.
#[actix_web::test]
async fn stalled_watch_does_not_delay_edits() {
    let fleet = Fleet::start(2).await;
    fleet.fault(json!({"stall_watches": true})).await;
    assert_eq!(fleet.edit(1, "first", account("clinic")).await.status, 200);
    let took = fleet.wait_revision(2, 1).await;
    println!("edit applied at the other VM after {took:?}");
    assert!(took < Duration::from_secs(3));
}

/// Guards against losing the lease and missing edits when open connections hang and new ones work.
#[actix_web::test]
async fn silent_store_connections_are_replaced() {
    let fleet = Fleet::start(2).await;
    fleet
        .at(2)
        .to_platform
        .set_mode(jasmine_testkit::proxy::Fault::Silent);
    assert_eq!(fleet.edit(1, "first", account("clinic")).await.status, 200);
    let took = fleet.wait_revision(2, 1).await;
    println!("edit applied behind silent connections after {took:?}");
    let ready = fleet.wait_ready(2).await;
    assert!(ready < LEASE_EXPIRY_TIMEOUT, "{ready:?}");
}
