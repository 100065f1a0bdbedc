//! Two controllers per data centre watch the store; the others poll these.

mod support;

use {
    jasmine_testkit::harness::poll,
    std::time::Duration,
    support::{Fleet, LEASE_EXPIRY_TIMEOUT, account},
};

/// Guards against too many store watches, and against a VM that misses edits after all watchers of its
/// data centre died.
#[actix_web::test]
async fn watchers_per_data_centre_are_limited() {
    let mut fleet = Fleet::start(9).await;
    let look = || async {
        let mut waiting = Vec::new();
        for vm in 1..=9 {
            waiting.push(fleet.metric(vm, "jasmine_store_watches").await as u32);
        }
        // Three data centres with two watchers, each with one watch for edits and one for the fleet.
        match waiting.iter().sum() {
            12 => Ok(()),
            _ => Err(format!("{waiting:?}")),
        }
    };
    let (took, ()) = poll("twelve watches", LEASE_EXPIRY_TIMEOUT, look)
        .await
        .unwrap();
    println!("watchers settled after {took:?}");

    let answer = fleet.edit(1, "first", account("clinic")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let mut worst = Duration::ZERO;
    for vm in 1..=9 {
        worst = worst.max(fleet.wait_revision(vm, 1).await);
    }
    println!("edit applied at nine VMs within {worst:?}");
    assert!(worst < Duration::from_secs(2), "{worst:?}");

    for vm in [1, 4] {
        fleet.controllers[vm as usize - 1].daemon.kill();
    }
    let answer = fleet.edit(2, "second", account("bakery")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let took = fleet.wait_revision(7, 2).await;
    println!("edit applied {took:?} after two of three VMs of a data centre died");
}
