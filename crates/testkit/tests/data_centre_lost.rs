//! A whole data centre that is cut off from the others.

use {
    awc::http::Method,
    jasmine_testkit::{
        client::Call,
        harness::{Cluster, ClusterSpec, poll},
        proxy::Fault,
    },
    std::time::Duration,
};

/// Puts all links to and from the third data centre into a mode: its VM, its engine, its server.
fn set_third(
    cluster: &Cluster,
    mode: Fault,
) {
    let vm = &cluster.vms[2];
    for link in [&vm.to_platform, &vm.controller_peers, &vm.gateway_peers] {
        link.set_mode(mode);
    }
    for upstream in [&cluster.upstreams.engines[2], &cluster.upstreams.servers[2]] {
        upstream.proxy.as_ref().unwrap().set_mode(mode);
    }
}

/// How long until every adapter and the service are served at this VM, each call within ten seconds.
async fn all_served(
    cluster: &Cluster,
    vm: u32,
) -> Duration {
    let look = || async {
        for adapter in 1..=6 {
            let model = format!("notes-{adapter}");
            let mut call = Call::chat(
                cluster.callers(vm),
                cluster.key("clinic"),
                &model,
                "hi",
                16,
                true,
            );
            call.timeout = Duration::from_secs(10);
            match call.send().await {
                Ok(answer) if answer.is_whole() => {}
                Ok(answer) => return Err(format!("{model}: {} {}", answer.status, answer.code())),
                Err(e) => return Err(format!("{model}: {e}")),
            }
        }
        let status = Call::new(
            cluster.callers(vm),
            Method::GET,
            "/services/phones/phones/17",
        );
        match status.key(cluster.key("clinic")).send().await {
            Ok(answer) if answer.status == 200 => Ok(()),
            Ok(answer) => Err(format!("service: {} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    poll(
        &format!("all served at VM {vm}"),
        Duration::from_secs(40),
        look,
    )
    .await
    .unwrap()
    .0
}

/// A data centre loses its lines, with a third of the VMs and engines in it. The callers of the others
/// wait for seconds at most, also for adapters that were loaded there; when the lines are back all
/// of it serves again.
#[actix_web::test]
async fn others_go_on() {
    let spec = ClusterSpec {
        vms: 3,
        servers: 3,
        proxied_upstreams: true,
        ..ClusterSpec::default()
    };
    for mode in [Fault::Cut, Fault::CutToClient] {
        let cluster = Cluster::start(spec.clone()).await.unwrap();
        let before = all_served(&cluster, 1).await;
        set_third(&cluster, mode);
        let one = all_served(&cluster, 1).await;
        let two = all_served(&cluster, 2).await;
        set_third(&cluster, Fault::Pass);
        let three = all_served(&cluster, 3).await;
        println!(
            "{mode:?}: before {before:?}, VM 1 {one:?}, VM 2 {two:?}, VM 3 back after {three:?}"
        );
        let records = cluster.upstreams.engine_records().await;
        assert_eq!(
            records
                .iter()
                .map(|record| record.cut_by_unload)
                .sum::<u32>(),
            0
        );
    }
}
