//! Controllers killed while their gateways keep running.

use {
    jasmine_testkit::harness::{Cluster, ClusterSpec, wait_until_served},
    std::time::Duration,
};

/// One controller is killed. Its gateway keeps serving loaded adapters; adapters that are not
/// loaded wait until another controller owns the engines.
#[actix_web::test]
async fn one_controller_killed() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    wait_until_served(&cluster, 1, "notes-1", Duration::from_secs(10)).await;
    cluster.vms[0].controller.take().unwrap().kill();
    let loaded = wait_until_served(&cluster, 1, "notes-1", Duration::from_secs(5)).await;
    let cold = wait_until_served(&cluster, 1, "notes-2", Duration::from_secs(20)).await;
    cluster.vms[0].start_controller().unwrap();
    let after = wait_until_served(&cluster, 1, "notes-3", Duration::from_secs(20)).await;
    println!("loaded {loaded:?}, cold {cold:?}, cold with the new controller {after:?}");
}

/// All controllers are killed at once. Gateways keep serving loaded adapters until their
/// configuration is too old for key checks.
#[actix_web::test]
async fn all_controllers_killed() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    for vm in [1, 2] {
        wait_until_served(&cluster, vm, "notes-1", Duration::from_secs(10)).await;
    }
    for vm in &mut cluster.vms {
        vm.controller.take().unwrap().kill();
    }
    for vm in [1, 2] {
        let loaded = wait_until_served(&cluster, vm, "notes-1", Duration::from_secs(3)).await;
        println!("VM {vm} served after {loaded:?}");
    }
    for vm in &mut cluster.vms {
        vm.start_controller().unwrap();
    }
    for vm in [1, 2] {
        let recovery = wait_until_served(&cluster, vm, "notes-4", Duration::from_secs(30)).await;
        println!("VM {vm} served a cold adapter {recovery:?} after the controllers were back");
    }
}
