//! Loss of every VM at once, and combinations of two faults.

use {
    jasmine_testkit::{
        client::{Call, CallError},
        harness::{Cluster, ClusterSpec, poll},
        proxy::Fault,
    },
    serde_json::json,
    std::time::Duration,
};

/// How long callers may be refused after the faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

fn chat(
    cluster: &Cluster,
    vm: u32,
) -> Call {
    let mut call = Call::chat(
        cluster.caller_address(vm),
        cluster.key("clinic"),
        "notes-1",
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
) -> Duration {
    let check = || async {
        match chat(cluster, vm).send().await {
            Ok(answer) if answer.is_complete() => Ok(()),
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    poll(&format!("VM {vm} serves"), RECOVERY_TIMEOUT, check)
        .await
        .unwrap()
        .0
}

/// Every VM restarts during a platform outage. Without a configuration, gateways must refuse all
/// requests, and recover unaided at the last accepted revision once the platform is back.
#[actix_web::test]
async fn all_vms_restarted_in_platform_outage() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    wait_until_served(&cluster, 1).await;
    let ops = [json!({"op": "set", "path": "/accounts/clinic", "setting": "weight", "value": 7})];
    let accepted = cluster.edit(1, "before", 1, &ops).await.unwrap();
    assert_eq!(accepted.status, 200, "{accepted:?}");
    cluster
        .set_platform_faults(json!({"outage": true}))
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
    cluster.set_platform_faults(json!({})).await.unwrap();
    for vm in [1, 2] {
        let recovery = wait_until_served(&cluster, vm).await;
        assert_eq!(cluster.revision(vm).await.unwrap(), 2);
        println!("VM {vm} serves {recovery:?} after the platform was back");
    }
}

/// One VM is killed and replaced during a platform outage. The other keeps serving; the new one
/// gets the configuration from its peer but no rights, so it may refuse requests as `not_run`.
#[actix_web::test]
async fn vm_replaced_in_platform_outage() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    wait_until_served(&cluster, 2).await;
    cluster
        .set_platform_faults(json!({"outage": true}))
        .await
        .unwrap();
    cluster.vms[0].gateway.take().unwrap().kill();
    cluster.vms[0].controller.take().unwrap().kill();
    cluster.vms[0].start_controller().unwrap();
    cluster.vms[0].start_gateway().unwrap();
    wait_until_served(&cluster, 2).await;
    let early = chat(&cluster, 1).send().await.unwrap();
    let is_refused_not_run = early.json["error"]["execution"] == "not_run";
    assert!(early.is_complete() || is_refused_not_run, "{early:?}");
    println!(
        "the new VM in the outage: {} {}",
        early.status,
        early.code()
    );
    cluster.set_platform_faults(json!({})).await.unwrap();
    let recovery = wait_until_served(&cluster, 1).await;
    println!("the new VM serves {recovery:?} after the platform was back");
}

/// A gateway is frozen while all links between VMs go silent, as when a host migrates and a
/// firewall loses its connection table. No non-idempotent call may run twice.
#[actix_web::test]
async fn no_double_run_with_frozen_gateway_and_silent_links() {
    let cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    wait_until_served(&cluster, 1).await;
    for vm in &cluster.vms {
        vm.controller_peer_link.set_mode(Fault::Silent);
        vm.gateway_peer_link.set_mode(Fault::Silent);
        vm.platform_link.set_mode(Fault::Silent);
    }
    let frozen = cluster.vms[0].gateway.as_ref().unwrap();
    frozen.signal(nix::sys::signal::Signal::SIGSTOP);
    let send_enrolment = |vm: u32, n: u32| {
        let to = cluster.caller_address(vm);
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
        futures::future::join_all((0..6).map(|n| send_enrolment(1, n))).await;
    let lease = cluster.spec().lease.to_std();
    let second = futures::future::join_all((0..6).map(|n| send_enrolment(2, n))).await;
    tokio::time::sleep(lease).await;
    cluster.vms[0]
        .gateway
        .as_ref()
        .unwrap()
        .signal(nix::sys::signal::Signal::SIGCONT);
    wait_until_served(&cluster, 1).await;
    let calls = cluster.upstreams.served_calls().await;
    for (n, answers) in first.iter().zip(&second).enumerate() {
        let name = format!("enrol-{n}");
        let executions = calls
            .iter()
            .filter(|call| call.idempotency_key == name)
            .count();
        assert!(executions <= 1, "{name} ran {executions} times");
        let has_succeeded = |answer: &Result<jasmine_testkit::client::Answer, CallError>| {
            answer.as_ref().is_ok_and(|answer| answer.status == 200)
        };
        if has_succeeded(answers.0) || has_succeeded(answers.1) {
            assert_eq!(executions, 1, "{name} was answered with 200 but never ran");
        }
    }
    let done = second
        .iter()
        .flatten()
        .filter(|answer| answer.status == 200);
    println!("{} of 6 done at the other VM", done.count());
}
