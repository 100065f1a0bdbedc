//! Loss or network isolation of a whole data centre.

use {
    jasmine_testkit::{
        client::{Answer, Call},
        harness::{Cluster, ClusterSpec, poll},
        proxy::Fault,
    },
    std::time::Duration,
};

/// How long callers in other data centres may be refused after the loss.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(20);

/// Three data centres, each with one VM, one engine and one server.
fn three_data_centres() -> ClusterSpec {
    ClusterSpec {
        vms: 3,
        engines: 3,
        servers: 3,
        has_proxied_upstreams: true,
        ..ClusterSpec::default()
    }
}

fn chat(
    cluster: &Cluster,
    vm: u32,
    model: &str,
) -> Call {
    let mut call = Call::chat(
        cluster.caller_address(vm),
        cluster.key("clinic"),
        model,
        "hi",
        16,
        true,
    );
    call.timeout = Duration::from_secs(10);
    call
}

async fn wait_until_served(
    cluster: &Cluster,
    vm: u32,
    model: &str,
) -> Duration {
    let check = || async {
        match chat(cluster, vm, model).send().await {
            Ok(answer) if answer.is_complete() => Ok(()),
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    let wanted = format!("{model} at VM {vm}");
    poll(&wanted, FAILOVER_TIMEOUT, check).await.unwrap().0
}

/// Asserts that a response is complete or carries an error code.
fn assert_whole_or_error(answer: &Answer) {
    let has_error = !answer.code().is_empty();
    assert!(answer.is_complete() || has_error, "{answer:?}");
}

/// Sets the fault mode of every link to the data centre of VM 3.
fn set_third_data_centre_links(
    cluster: &Cluster,
    mode: Fault,
) {
    let vm = &cluster.vms[2];
    vm.controller_peer_link.set_mode(mode);
    vm.gateway_peer_link.set_mode(mode);
    vm.platform_link.set_mode(mode);
    let upstreams = [&cluster.upstreams.engines[2], &cluster.upstreams.servers[2]];
    for proxy in upstreams
        .iter()
        .filter_map(|upstream| upstream.proxy.as_ref())
    {
        proxy.set_mode(mode);
    }
}

/// A data centre loses power. Its adapters must be served from other data centres, no truncated
/// response may look complete, and its VM must serve again after recovery.
#[actix_web::test]
async fn data_centre_without_power() {
    let mut cluster = Cluster::start(three_data_centres()).await.unwrap();
    for n in 1..=6 {
        wait_until_served(&cluster, n % 3 + 1, &format!("notes-{n}")).await;
    }
    set_third_data_centre_links(&cluster, Fault::Cut);
    cluster.vms[2].gateway.take().unwrap().kill();
    cluster.vms[2].controller.take().unwrap().kill();
    let lost = chat(&cluster, 1, "notes-1").send().await.unwrap();
    assert_whole_or_error(&lost);
    let mut slowest = Duration::ZERO;
    for n in 1..=6 {
        let took = wait_until_served(&cluster, n % 2 + 1, &format!("notes-{n}")).await;
        slowest = slowest.max(took);
    }
    set_third_data_centre_links(&cluster, Fault::Pass);
    cluster.vms[2].start_controller().unwrap();
    cluster.vms[2].start_gateway().unwrap();
    cluster.wait_until_ready(3).await.unwrap();
    let recovery = wait_until_served(&cluster, 3, "notes-3").await;
    println!(
        "elsewhere after {slowest:?} at worst; at the data centre itself {recovery:?} after ready"
    );
}

/// A VM is isolated from the platform and all peers. Once its configuration is stale it must refuse
/// requests as `not_run` with a retry delay, because it can't know which keys were withdrawn.
#[actix_web::test]
async fn cut_off() {
    let spec = ClusterSpec {
        max_config_age: jasmine_core::clock::Millis(3000),
        ..three_data_centres()
    };
    let cluster = Cluster::start(spec).await.unwrap();
    for vm in 1..=3 {
        wait_until_served(&cluster, vm, "notes-1").await;
    }
    set_third_data_centre_links(&cluster, Fault::Cut);
    for vm in &cluster.vms {
        vm.controller_peer_link.set_mode(Fault::Cut);
        vm.gateway_peer_link.set_mode(Fault::Cut);
    }
    let refused = || async {
        match chat(&cluster, 3, "base").send().await {
            Ok(answer) if answer.code() == "config_unavailable" => Ok(answer),
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    let (after, answer) = poll("the isolated VM refuses", Duration::from_secs(20), refused)
        .await
        .unwrap();
    assert_eq!(answer.json["error"]["execution"], "not_run");
    assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
    for vm in [1, 2] {
        wait_until_served(&cluster, vm, "base").await;
    }
    set_third_data_centre_links(&cluster, Fault::Pass);
    for vm in &cluster.vms {
        vm.controller_peer_link.set_mode(Fault::Pass);
        vm.gateway_peer_link.set_mode(Fault::Pass);
    }
    let recovery = wait_until_served(&cluster, 3, "base").await;
    println!("refused {after:?} after the cut, served {recovery:?} after its end");
}

/// Links to a data centre lose all replies. Guards against waiting on it as if it were only slow:
/// its adapters must be served elsewhere within seconds, and no response may be cut.
#[actix_web::test]
async fn data_centre_replies_lost() {
    let cluster = Cluster::start(three_data_centres()).await.unwrap();
    for n in 1..=6 {
        wait_until_served(&cluster, n % 3 + 1, &format!("notes-{n}")).await;
    }
    set_third_data_centre_links(&cluster, Fault::CutToClient);
    let mut slowest = Duration::ZERO;
    for n in 1..=6 {
        let took = wait_until_served(&cluster, n % 2 + 1, &format!("notes-{n}")).await;
        slowest = slowest.max(took);
    }
    set_third_data_centre_links(&cluster, Fault::Pass);
    let recovery = wait_until_served(&cluster, 3, "notes-3").await;
    println!("elsewhere after {slowest:?} at worst; at the data centre itself {recovery:?}");
    let records = cluster.upstreams.engine_records().await;
    let cut = records.iter().map(|record| record.cut_by_unload);
    assert_eq!(cut.sum::<u32>(), 0);
}
