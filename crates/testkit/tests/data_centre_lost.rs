//! A whole data centre that is cut off or dies.

use {
    jasmine_testkit::{
        client::{Answer, Call},
        harness::{Cluster, ClusterSpec, poll},
        proxy::Fault,
    },
    std::time::Duration,
};

/// How long callers elsewhere may be refused after the loss.
const ELSEWHERE_BOUND: Duration = Duration::from_secs(20);

/// Three data centres with a VM, an engine and a server each.
fn three_data_centres() -> ClusterSpec {
    ClusterSpec {
        vms: 3,
        engines: 3,
        servers: 3,
        proxied_upstreams: true,
        ..ClusterSpec::default()
    }
}

fn chat(
    cluster: &Cluster,
    vm: u32,
    model: &str,
) -> Call {
    let mut call = Call::chat(
        cluster.callers(vm),
        cluster.key("clinic"),
        model,
        "hi",
        16,
        true,
    );
    call.timeout = Duration::from_secs(10);
    call
}

async fn served(
    cluster: &Cluster,
    vm: u32,
    model: &str,
) -> Duration {
    let look = || async {
        match chat(cluster, vm, model).send().await {
            Ok(answer) if answer.is_whole() => Ok(()),
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    let wanted = format!("{model} at VM {vm}");
    poll(&wanted, ELSEWHERE_BOUND, look).await.unwrap().0
}

/// An answer is whole, or it says itself that it is not; nothing else is allowed.
fn assert_honest(answer: &Answer) {
    let says_so = !answer.code().is_empty();
    assert!(answer.is_whole() || says_so, "{answer:?}");
}

/// Sets every link into the data centre of VM 3.
fn third_data_centre(
    cluster: &Cluster,
    mode: Fault,
) {
    let vm = &cluster.vms[2];
    vm.controller_peers.set_mode(mode);
    vm.gateway_peers.set_mode(mode);
    vm.to_platform.set_mode(mode);
    let upstreams = [&cluster.upstreams.engines[2], &cluster.upstreams.servers[2]];
    for proxy in upstreams
        .iter()
        .filter_map(|upstream| upstream.proxy.as_ref())
    {
        proxy.set_mode(mode);
    }
}

/// A data centre loses power: its VM is killed and its engine and server answer nobody. Callers of the
/// other data centres have adapters there and must get them elsewhere; nobody may get half an answer
/// as whole. When it is back, its VM serves again.
#[actix_web::test]
async fn without_power() {
    let mut cluster = Cluster::start(three_data_centres()).await.unwrap();
    for n in 1..=6 {
        served(&cluster, n % 3 + 1, &format!("notes-{n}")).await;
    }
    third_data_centre(&cluster, Fault::Cut);
    cluster.vms[2].gateway.take().unwrap().kill();
    cluster.vms[2].controller.take().unwrap().kill();
    let lost = chat(&cluster, 1, "notes-1").send().await.unwrap();
    assert_honest(&lost);
    let mut slowest = Duration::ZERO;
    for n in 1..=6 {
        let took = served(&cluster, n % 2 + 1, &format!("notes-{n}")).await;
        slowest = slowest.max(took);
    }
    third_data_centre(&cluster, Fault::Pass);
    cluster.vms[2].start_controller().unwrap();
    cluster.vms[2].start_gateway().unwrap();
    cluster.wait_until_ready(3).await.unwrap();
    let back = served(&cluster, 3, "notes-3").await;
    println!(
        "elsewhere after {slowest:?} at worst; at the data centre itself {back:?} after ready"
    );
}

/// A data centre is cut off while its machines go on: its VM reaches neither the platform nor the
/// other VMs. The others go on; the lone VM may serve what it holds for its bound and then
/// refuses, truly not run, because it can't know which keys have been withdrawn. Its
/// callers are told when to come back, and are served once it is connected again.
#[actix_web::test]
async fn cut_off() {
    let spec = ClusterSpec {
        config_stale: jasmine_core::clock::Millis(3000),
        ..three_data_centres()
    };
    let cluster = Cluster::start(spec).await.unwrap();
    for vm in 1..=3 {
        served(&cluster, vm, "notes-1").await;
    }
    third_data_centre(&cluster, Fault::Cut);
    for vm in &cluster.vms {
        vm.controller_peers.set_mode(Fault::Cut);
        vm.gateway_peers.set_mode(Fault::Cut);
    }
    let refused = || async {
        match chat(&cluster, 3, "base").send().await {
            Ok(answer) if answer.code() == "config_unavailable" => Ok(answer),
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    let (after, answer) = poll("the lone VM refuses", Duration::from_secs(20), refused)
        .await
        .unwrap();
    assert_eq!(answer.json["error"]["execution"], "not_run");
    assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
    for vm in [1, 2] {
        served(&cluster, vm, "base").await;
    }
    third_data_centre(&cluster, Fault::Pass);
    for vm in &cluster.vms {
        vm.controller_peers.set_mode(Fault::Pass);
        vm.gateway_peers.set_mode(Fault::Pass);
    }
    let back = served(&cluster, 3, "base").await;
    println!("refused {after:?} after the cut, served {back:?} after its end");
}

/// The lines of a data centre work in one direction only: what is sent there arrives and no answer
/// comes back. Connections open and stay silent, which looks like a slow data centre for as long as
/// nobody stops waiting. Callers elsewhere are served within seconds, and no answer is cut for it.
#[actix_web::test]
async fn cut_one_way() {
    let cluster = Cluster::start(three_data_centres()).await.unwrap();
    for n in 1..=6 {
        served(&cluster, n % 3 + 1, &format!("notes-{n}")).await;
    }
    third_data_centre(&cluster, Fault::CutToClient);
    let mut slowest = Duration::ZERO;
    for n in 1..=6 {
        let took = served(&cluster, n % 2 + 1, &format!("notes-{n}")).await;
        slowest = slowest.max(took);
    }
    third_data_centre(&cluster, Fault::Pass);
    let back = served(&cluster, 3, "notes-3").await;
    println!("elsewhere after {slowest:?} at worst; at the data centre itself {back:?}");
    let records = cluster.upstreams.engine_records().await;
    let cut = records.iter().map(|record| record.cut_by_unload);
    assert_eq!(cut.sum::<u32>(), 0);
}
