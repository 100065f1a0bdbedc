//! A gateway that is killed or frozen.

use {
    jasmine_testkit::{
        client::{Call, EndOfStream},
        engine::{EngineSettings, chat_answer, long_message},
        harness::{Cluster, ClusterSpec, served_within},
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

/// A VM dies in the middle of an answer. Its caller sees the connection close without the mark of
/// a whole answer, every other caller goes on, and the VM that replaces it serves.
#[actix_web::test]
async fn killed() {
    let mut cluster = Cluster::start(slow_engines()).await.unwrap();
    let text = long_message("notes-1-v1");
    let call = Call::chat(
        cluster.callers(1),
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
    assert!(chat_answer("notes-1-v1", &text, 64).starts_with(&answer.text));
    let other = served_within(&cluster, 2, "notes-2", Duration::from_secs(5)).await;
    cluster.vms[0].start_gateway().unwrap();
    let replaced = served_within(&cluster, 1, "notes-2", Duration::from_secs(20)).await;
    println!("other VM served after {other:?}, the new process after {replaced:?}");
}

/// A VM is replaced and its new gateway says that it is ready. The balancer sends it requests from
/// then on, and each that is refused although its account has tokens left is a booking lost.
#[actix_web::test]
async fn ready_means_serving() {
    let mut cluster = Cluster::start(slow_engines()).await.unwrap();
    served_within(&cluster, 2, "notes-2", Duration::from_secs(5)).await;
    cluster.vms[0].gateway.take().unwrap().kill();
    cluster.vms[0].start_gateway().unwrap();
    cluster.wait_until_ready(1).await.unwrap();
    let call = Call::chat(
        cluster.callers(1),
        cluster.key("clinic"),
        "notes-2",
        "hi",
        16,
        true,
    );
    let first = call.send().await.unwrap();
    assert!(first.is_whole(), "{first:?}");
}

/// A VM is paused for longer than its leases and goes on unaware. Callers of the others notice
/// nothing, and once it goes on it serves again.
#[actix_web::test]
async fn frozen_and_thawed() {
    let cluster = Cluster::start(slow_engines()).await.unwrap();
    let frozen = cluster.vms[0].gateway.as_ref().unwrap();
    let controller = cluster.vms[0].controller.as_ref().unwrap();
    assert!(frozen.signal(Signal::SIGSTOP) && controller.signal(Signal::SIGSTOP));
    let lease = cluster.spec().lease.to_std();
    let other = served_within(&cluster, 2, "notes-2", Duration::from_secs(15)).await;
    tokio::time::sleep(lease * 2).await;
    assert!(frozen.signal(Signal::SIGCONT) && controller.signal(Signal::SIGCONT));
    let thawed = served_within(&cluster, 1, "notes-2", Duration::from_secs(20)).await;
    println!("other VM served after {other:?}, the thawed one after {thawed:?}");
    let records = cluster.upstreams.engine_records().await;
    assert_eq!(
        records
            .iter()
            .map(|record| record.cut_by_unload)
            .sum::<u32>(),
        0
    );
}
