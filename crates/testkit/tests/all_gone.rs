//! Every VM gone at once, and faults that come in pairs.

use {
    jasmine_testkit::{
        client::{Call, CallError},
        harness::{Cluster, ClusterSpec, poll},
        proxy::Fault,
    },
    serde_json::json,
    std::time::Duration,
};

/// How long until callers are served again once all that they need is back.
const BACK_BOUND: Duration = Duration::from_secs(30);

fn chat(
    cluster: &Cluster,
    vm: u32,
) -> Call {
    let mut call = Call::chat(
        cluster.callers(vm),
        cluster.key("clinic"),
        "notes-1",
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
) -> Duration {
    let look = || async {
        match chat(cluster, vm).send().await {
            Ok(answer) if answer.is_whole() => Ok(()),
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    poll(&format!("VM {vm} serves"), BACK_BOUND, look)
        .await
        .unwrap()
        .0
}

/// A bad image reboots every VM at once while the platform is out. The new processes know nothing and
/// nobody can tell them: they must serve nobody rather than guess keys and rates, and serve by
/// themselves once the platform is back, at the revision that had been accepted.
#[actix_web::test]
async fn platform_out_too() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    served(&cluster, 1).await;
    let ops = [json!({"op": "set", "path": "/accounts/clinic", "setting": "weight", "value": 7})];
    let accepted = cluster.edit(1, "before", 1, &ops).await.unwrap();
    assert_eq!(accepted.status, 200, "{accepted:?}");
    cluster
        .platform_fault(json!({"outage": true}))
        .await
        .unwrap();
    for vm in &mut cluster.vms {
        vm.gateway.take().unwrap().kill();
        vm.controller.take().unwrap().kill();
    }
    for vm in &mut cluster.vms {
        vm.start_controller().unwrap();
        vm.start_gateway().unwrap();
    }
    for vm in [1, 2] {
        let refused = chat(&cluster, vm).send().await.unwrap();
        assert_eq!(refused.code(), "config_unavailable", "{refused:?}");
        assert_eq!(refused.json["error"]["execution"], "not_run");
    }
    cluster.platform_fault(json!({})).await.unwrap();
    for vm in [1, 2] {
        let back = served(&cluster, vm).await;
        assert_eq!(cluster.revision(vm).await.unwrap(), 2);
        println!("VM {vm} serves {back:?} after the platform was back");
    }
}

/// The platform goes down and, while it is down, one VM is killed and replaced. The other serves on.
/// The new one gets the configuration from its peer; it can't be given rights before the
/// platform is back, so it may refuse, truly not run, but must not run anything beyond them.
#[actix_web::test]
async fn replaced_in_an_outage() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    served(&cluster, 2).await;
    cluster
        .platform_fault(json!({"outage": true}))
        .await
        .unwrap();
    cluster.vms[0].gateway.take().unwrap().kill();
    cluster.vms[0].controller.take().unwrap().kill();
    cluster.vms[0].start_controller().unwrap();
    cluster.vms[0].start_gateway().unwrap();
    served(&cluster, 2).await;
    let early = chat(&cluster, 1).send().await.unwrap();
    let is_true_refusal = early.json["error"]["execution"] == "not_run";
    assert!(early.is_whole() || is_true_refusal, "{early:?}");
    println!(
        "the new VM in the outage: {} {}",
        early.status,
        early.code()
    );
    cluster.platform_fault(json!({})).await.unwrap();
    let back = served(&cluster, 1).await;
    println!("the new VM serves {back:?} after the platform was back");
}

/// A VM is frozen and the links between all VMs go silent at the same moment, as when a host is
/// moved and the firewall between loses its table. Nothing may run twice: each call of the
/// service that may not be repeated is seen at most once, whatever its caller was told.
#[actix_web::test]
async fn frozen_and_silent() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    served(&cluster, 1).await;
    for vm in &cluster.vms {
        vm.controller_peers.set_mode(Fault::Silent);
        vm.gateway_peers.set_mode(Fault::Silent);
        vm.to_platform.set_mode(Fault::Silent);
    }
    let frozen = cluster.vms[0].gateway.as_ref().unwrap();
    frozen.signal(nix::sys::signal::Signal::SIGSTOP);
    let enrol = |vm: u32, n: u32| {
        let to = cluster.callers(vm);
        let key = cluster.key("clinic").to_owned();
        async move {
            let path = format!("/services/phones/phones/{n}/enrolment");
            let mut call = Call::new(to, awc::http::Method::POST, &path)
                .key(&key)
                .header("idempotency-key", &format!("enrol-{n}"))
                .body(json!({"phone": n}));
            call.timeout = Duration::from_secs(4);
            call.send().await
        }
    };
    let first: Vec<Result<_, CallError>> =
        futures::future::join_all((0..6).map(|n| enrol(1, n))).await;
    let lease = cluster.spec().lease.to_std();
    let again = futures::future::join_all((0..6).map(|n| enrol(2, n))).await;
    tokio::time::sleep(lease).await;
    cluster.vms[0]
        .gateway
        .as_ref()
        .unwrap()
        .signal(nix::sys::signal::Signal::SIGCONT);
    served(&cluster, 1).await;
    let calls = cluster.upstreams.served_calls().await;
    for (n, answers) in first.iter().zip(&again).enumerate() {
        let name = format!("enrol-{n}");
        let seen = calls
            .iter()
            .filter(|call| call.idempotency_key == name)
            .count();
        assert!(seen <= 1, "{name} ran {seen} times");
        let told_done = |answer: &Result<jasmine_testkit::client::Answer, CallError>| {
            answer.as_ref().is_ok_and(|answer| answer.status == 200)
        };
        if told_done(answers.0) || told_done(answers.1) {
            assert_eq!(seen, 1, "{name} was answered and never ran");
        }
    }
    let done = again.iter().flatten().filter(|answer| answer.status == 200);
    println!("{} of 6 done at the other VM", done.count());
}
