//! Few watchers in each data centre, the rest by their word.

mod support;

use {
    jasmine_testkit::harness::poll,
    std::time::Duration,
    support::{Fleet, LATER, account},
};

/// Nine VMs in three data centres. Were each to watch the store, the platform's rates, which grow more
/// slowly than the fleet, would be used up by waiting; and when the watchers of a data centre die at
/// once, the third VM must hear of a withdrawn key all the same.
#[actix_web::test]
async fn two_a_data_centre() {
    let mut fleet = Fleet::start(9).await;
    let look = || async {
        let mut waiting = Vec::new();
        for vm in 1..=9 {
            waiting.push(fleet.metric(vm, "jasmine_store_watches").await as u32);
        }
        // Two watchers in each of three data centres; each watches edits and the fleet.
        match waiting.iter().sum() {
            12 => Ok(()),
            _ => Err(format!("{waiting:?}")),
        }
    };
    let (took, ()) = poll("twelve watches", LATER, look).await.unwrap();
    println!("watchers settled after {took:?}");

    let answer = fleet.edit(1, "first", account("clinic")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let mut worst = Duration::ZERO;
    for vm in 1..=9 {
        worst = worst.max(fleet.wait_revision(vm, 1).await);
    }
    println!("edit in force at nine VMs within {worst:?}");
    assert!(worst < Duration::from_secs(2), "{worst:?}");

    for vm in [1, 4] {
        fleet.controllers[vm as usize - 1].daemon.kill();
    }
    let answer = fleet.edit(2, "second", account("bakery")).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let took = fleet.wait_revision(7, 2).await;
    println!("edit in force {took:?} after two of a data centre's three died");
}
