//! The platform's key-value service out for a while.

mod support;

use {
    jasmine_testkit::harness::poll,
    serde_json::json,
    std::time::Duration,
    support::{Fleet, LATER, SOON, account},
};

/// The store is out for longer than every lease. Operators who edit meanwhile must hear that nothing
/// was written; what was in force stays in force, and soon after the store's return edits go through
/// again everywhere without anybody's help.
#[actix_web::test]
async fn out_and_back() {
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
    poll("store known to be out", SOON, look).await.unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(fleet.revision(2).await, 1);

    fleet.fault(json!({})).await;
    let look = || async {
        match fleet.edit(2, "after", account("bakery")).await {
            answer if answer.status == 200 => Ok(()),
            answer => Err(format!("{answer:?}")),
        }
    };
    let (back, ()) = poll("edit accepted again", SOON, look).await.unwrap();
    let everywhere = fleet.wait_revision(1, 2).await;
    println!(
        "edit accepted {back:?} after the store's return, at the other VM {everywhere:?} later"
    );
    fleet.wait_ready(1).await;
    fleet.wait_ready(2).await;
}

/// The watch of one VM stalls while its other calls work, so it hears of nothing. A key withdrawn
/// in that time would go on working there.
#[actix_web::test]
async fn watch_stalled() {
    let fleet = Fleet::start(2).await;
    fleet.fault(json!({"stall_watches": true})).await;
    assert_eq!(fleet.edit(1, "first", account("clinic")).await.status, 200);
    let took = fleet.wait_revision(2, 1).await;
    println!("edit in force at the other VM after {took:?}");
    assert!(took < Duration::from_secs(3));
}

/// Open connections to the store go silent for good while new ones work: something in between has
/// forgotten them. Without fresh connections the VM would lose its lease and hear of no edit.
#[actix_web::test]
async fn connections_silent() {
    let fleet = Fleet::start(2).await;
    fleet
        .at(2)
        .to_platform
        .set_mode(jasmine_testkit::proxy::Fault::Silent);
    assert_eq!(fleet.edit(1, "first", account("clinic")).await.status, 200);
    let took = fleet.wait_revision(2, 1).await;
    println!("edit in force behind silent connections after {took:?}");
    let ready = fleet.wait_ready(2).await;
    assert!(ready < LATER, "{ready:?}");
}
