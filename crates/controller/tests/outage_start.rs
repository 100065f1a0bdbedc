//! Start of a VM during a store outage.

mod support;

use {
    jasmine_testkit::harness::poll,
    serde_json::json,
    support::{Fleet, REPLY_TIMEOUT, account},
};

/// Guards against a new VM rejecting all requests until the store recovers.
#[actix_web::test]
async fn new_vm_loads_configuration_from_peer() {
    let mut fleet = Fleet::start(1).await;
    assert_eq!(fleet.edit(1, "first", account("clinic")).await.status, 200);
    let peers = fleet.at(1).daemon.port("peers").to_string();
    fleet
        .list_vms(json!([{"vm": 1, "address": peers, "state": "live"}]))
        .await;
    fleet.fault(json!({"outage": true})).await;

    fleet.add(2);
    let look = || async {
        match fleet.revision(2).await {
            1 => Ok(()),
            have => Err(format!("revision {have}")),
        }
    };
    let (took, ()) = poll("configuration at the new VM", REPLY_TIMEOUT, look)
        .await
        .unwrap();
    println!("configuration at the new VM after {took:?}");
}
