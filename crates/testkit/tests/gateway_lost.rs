//! Gateways that are killed or frozen.

use {
    jasmine_testkit::{
        client::{Call, EndOfStream},
        engine::{EngineSettings, expected_chat_answer, message_with_long_answer},
        harness::{Cluster, ClusterSpec, wait_until_served},
    },
    nix::sys::signal::Signal,
    std::time::Duration,
};

fn slow_engines() -> ClusterSpec {
    ClusterSpec {
        engine: EngineSettings::default(),
        ..ClusterSpec::default()
    }
}

/// A gateway dies during a response. Its caller must see a truncated stream, and the other VM and
/// the replacement must serve.
#[actix_web::test]
async fn killed() {
    let mut cluster = Cluster::start(slow_engines()).await.unwrap();
    let text = message_with_long_answer("notes-1-v1");
    let call = Call::chat(
        cluster.caller_address(1),
        cluster.key("courier"),
        "notes-1",
        &text,
        64,
        true,
    );
    let stream = actix_web::rt::spawn(async move { call.send().await });
    cluster.wait_for_tokens(10).await.unwrap();
    cluster.vms[0].gateway.take().unwrap().kill();
    let answer = stream.await.unwrap().unwrap();
    assert_eq!(answer.end, EndOfStream::Cut, "{answer:?}");
    assert!(expected_chat_answer("notes-1-v1", &text, 64).starts_with(&answer.text));
    let other = wait_until_served(&cluster, 2, "notes-2", Duration::from_secs(5)).await;
    cluster.vms[0].start_gateway().unwrap();
    let replaced = wait_until_served(&cluster, 1, "notes-2", Duration::from_secs(20)).await;
    println!("other VM served after {other:?}, the new process after {replaced:?}");
}

/// Guards against a restarted gateway that reports ready but refuses requests within the account's
/// rate.
#[actix_web::test]
async fn ready_gateway_serves() {
    let mut cluster = Cluster::start(slow_engines()).await.unwrap();
    wait_until_served(&cluster, 2, "notes-2", Duration::from_secs(5)).await;
    cluster.vms[0].gateway.take().unwrap().kill();
    cluster.vms[0].start_gateway().unwrap();
    cluster.wait_until_ready(1).await.unwrap();
    let call = Call::chat(
        cluster.caller_address(1),
        cluster.key("clinic"),
        "notes-2",
        "hi",
        16,
        true,
    );
    let first = call.send().await.unwrap();
    assert!(first.is_complete(), "{first:?}");
}

/// A VM is paused for longer than its leases and then resumes. Other VMs must keep serving, and it
/// must serve again.
#[actix_web::test]
async fn frozen_vm_resumes() {
    let cluster = Cluster::start(slow_engines()).await.unwrap();
    let frozen = cluster.vms[0].gateway.as_ref().unwrap();
    let controller = cluster.vms[0].controller.as_ref().unwrap();
    assert!(frozen.signal(Signal::SIGSTOP) && controller.signal(Signal::SIGSTOP));
    let lease = cluster.spec().lease.to_std();
    let other = wait_until_served(&cluster, 2, "notes-2", Duration::from_secs(15)).await;
    tokio::time::sleep(lease * 2).await;
    assert!(frozen.signal(Signal::SIGCONT) && controller.signal(Signal::SIGCONT));
    let resumed = wait_until_served(&cluster, 1, "notes-2", Duration::from_secs(20)).await;
    println!("other VM served after {other:?}, the resumed one after {resumed:?}");
    let records = cluster.upstreams.engine_records().await;
    assert_eq!(
        records
            .iter()
            .map(|record| record.cut_by_unload)
            .sum::<u32>(),
        0
    );
}
