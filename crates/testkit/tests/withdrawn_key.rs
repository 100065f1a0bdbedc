//! API keys withdrawn while they are in use.

use {
    jasmine_core::clock::Millis,
    jasmine_testkit::{
        client::{Call, EndOfStream},
        engine::{EngineSettings, message_with_long_answer},
        harness::{Cluster, ClusterSpec, poll},
        proxy::Fault,
    },
    serde_json::{Value, json},
    std::time::{Duration, Instant},
};

/// How long a withdrawn key may still be accepted.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(5);

/// How long an engine may keep running a request whose caller is gone.
const MAX_CANCEL_DELAY: Duration = Duration::from_secs(1);

/// Engines slow enough that a response takes about nine seconds.
fn slow_answers() -> ClusterSpec {
    let engine = EngineSettings {
        step_us: 150_000,
        ..EngineSettings::default()
    };
    ClusterSpec {
        engine,
        max_config_age: Millis(3000),
        ..ClusterSpec::default()
    }
}

fn withdraw() -> [Value; 1] {
    [json!({"op": "set", "path": "/accounts/courier/first", "setting": "withdrawn", "value": true})]
}

/// Waits until the VM refuses new requests with the key; returns how long that took.
async fn wait_until_refused(
    cluster: &Cluster,
    vm: u32,
) -> Duration {
    let check = || async {
        let call = Call::chat(
            cluster.caller_address(vm),
            cluster.key("courier"),
            "base",
            "hi",
            1,
            false,
        );
        match call.send().await {
            Ok(answer) if ["key_withdrawn", "config_unavailable"].contains(&answer.code()) => {
                Ok(())
            }
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    poll("key refused", Duration::from_secs(15), check)
        .await
        .unwrap()
        .0
}

/// A key is withdrawn during streams that use it. Every VM must end them with an error within
/// seconds and refuse new requests.
#[actix_web::test]
async fn during_a_stream() {
    let cluster = Cluster::start(slow_answers()).await.unwrap();
    let text = message_with_long_answer("");
    let calls = [1, 2].map(|vm| {
        Call::chat(
            cluster.caller_address(vm),
            cluster.key("courier"),
            "base",
            &text,
            64,
            true,
        )
    });
    let streams = calls.map(|call| {
        actix_web::rt::spawn(async move {
            let answer = call.send().await;
            (answer, Instant::now())
        })
    });
    cluster.wait_for_tokens(6).await.unwrap();
    let accepted = cluster.edit(1, "withdraw", 1, &withdraw()).await.unwrap();
    let at = Instant::now();
    assert_eq!(accepted.status, 200, "{accepted:?}");
    for (vm, stream) in [1, 2].into_iter().zip(streams) {
        let refused = wait_until_refused(&cluster, vm).await;
        let (answer, ended) = stream.await.unwrap();
        let answer = answer.unwrap();
        println!(
            "VM {vm}: refused after {refused:?}, stream ended after {:?}",
            ended - at
        );
        assert!(
            refused < MAX_WITHDRAWAL_DELAY && ended - at < MAX_WITHDRAWAL_DELAY,
            "{refused:?} {:?}",
            ended - at
        );
        assert_eq!(
            answer.end,
            EndOfStream::Error("key_withdrawn_midway".to_owned()),
            "{answer:?}"
        );
    }
    // Engines stop a cancelled request slightly after its caller sees the error.
    // A request that was not stopped would run for nine seconds.
    let check = || async {
        let records = cluster.upstreams.engine_records().await;
        let rows = records.iter().flat_map(|record| &record.requests);
        let running: Vec<_> = rows.filter(|row| row.ended.is_none()).collect();
        match running.len() {
            0 => Ok(()),
            _ => Err(format!(
                "requests of a withdrawn key still run: {running:?}"
            )),
        }
    };
    poll("work has ended", MAX_CANCEL_DELAY, check)
        .await
        .unwrap();
}

/// A VM isolated from the platform and all peers can't learn of the withdrawal: it must refuse
/// requests once its configuration is stale.
#[actix_web::test]
async fn isolated_vm_refuses_withdrawn_key() {
    let cluster = Cluster::start(slow_answers()).await.unwrap();
    let vm = &cluster.vms[1];
    for link in [
        &vm.platform_link,
        &vm.controller_peer_link,
        &vm.gateway_peer_link,
    ] {
        link.set_mode(Fault::Cut);
    }
    cluster.vms[0].controller_peer_link.set_mode(Fault::Cut);
    let at = Instant::now();
    let accepted = cluster.edit(1, "withdraw", 1, &withdraw()).await.unwrap();
    assert_eq!(accepted.status, 200, "{accepted:?}");
    wait_until_refused(&cluster, 2).await;
    let took = at.elapsed();
    println!("refused at the VM cut off after {took:?}");
    let stale = cluster.spec().max_config_age.to_std();
    assert!(took < stale + Duration::from_secs(3), "{took:?}");
}
