//! Controllers that resume after their lease has expired and still send orders.

use {
    jasmine_testkit::{
        client::Call,
        engine::{EngineSettings, expected_chat_answer},
        harness::{Cluster, ClusterSpec},
    },
    nix::sys::signal::Signal,
    std::{
        cell::Cell,
        time::{Duration, Instant},
    },
};

/// Few slots for many adapters, which forces constant loads and evictions. Two of the three engines
/// check fencing tokens, the third accepts every order.
fn few_slots() -> ClusterSpec {
    ClusterSpec {
        adapters: 12,
        engine: EngineSettings {
            slots: 2,
            step_us: 5000,
            ..EngineSettings::default()
        },
        ..ClusterSpec::default()
    }
}

/// A controller is paused until another has taken over its engines, then resumes. Its stale orders
/// must not unload an adapter in use, even on engines that don't check fencing tokens.
#[actix_web::test]
async fn stale_orders_of_resumed_controller() {
    let cluster = Cluster::start(few_slots()).await.unwrap();
    let done = Cell::new(false);
    let client = |n: u32| {
        let (cluster, done) = (&cluster, &done);
        async move {
            let (mut whole, mut refused, mut failures) = (0, Vec::new(), Vec::new());
            for turn in 0.. {
                if done.get() {
                    break;
                }
                let adapter = (n * 5 + turn * 7) % 12 + 1;
                let text = format!("turn {turn} of lane {n}");
                let model = format!("notes-{adapter}");
                let call = Call::chat(
                    cluster.caller_address(n % 2 + 1),
                    cluster.key("clinic"),
                    &model,
                    &text,
                    20,
                    true,
                );
                let expected = expected_chat_answer(&format!("{model}-v1"), &text, 20);
                match call.send().await {
                    Ok(answer) if answer.is_complete() && answer.text == expected => whole += 1,
                    Ok(answer) if answer.is_complete() || !expected.starts_with(&answer.text) => {
                        failures.push(format!("{answer:?}"));
                    }
                    Ok(answer) => refused.push(answer.code().to_owned()),
                    Err(e) => failures.push(e.to_string()),
                }
            }
            (whole, refused, failures)
        }
    };
    let freeze = async {
        let lease = cluster.spec().lease.to_std();
        for vm in [&cluster.vms[0], &cluster.vms[1], &cluster.vms[0]] {
            let controller = vm.controller.as_ref().unwrap();
            assert!(controller.signal(Signal::SIGSTOP));
            tokio::time::sleep(lease * 2).await;
            assert!(controller.signal(Signal::SIGCONT));
            tokio::time::sleep(lease).await;
        }
        done.set(true);
    };
    let start = Instant::now();
    let (clients, ()) = futures::join!(futures::future::join_all((0..6).map(client)), freeze);
    let whole: u32 = clients.iter().map(|client| client.0).sum();
    let refused: Vec<_> = clients.iter().flat_map(|client| &client.1).collect();
    let failures: Vec<_> = clients.iter().flat_map(|client| &client.2).collect();
    let records = cluster.upstreams.engine_records().await;
    let loads: usize = records.iter().map(|record| record.loads.len()).sum();
    let unloads: usize = records.iter().map(|record| record.unloads.len()).sum();
    let stale: u32 = records.iter().map(|record| record.stale_orders).sum();
    println!(
        "{whole} whole, refused {refused:?}, {loads} loads, {unloads} unloads, {stale} stale orders in {:?}",
        start.elapsed()
    );
    assert_eq!(
        records
            .iter()
            .map(|record| record.cut_by_unload)
            .sum::<u32>(),
        0
    );
    assert!(failures.is_empty(), "{failures:?}");
    assert!(unloads > 0 && start.elapsed() > Duration::from_secs(10));
}
