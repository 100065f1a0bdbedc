//! Graceful shutdown of daemons under load.

use {
    jasmine_testkit::{
        client::Call,
        engine::{EngineSettings, expected_chat_answer, message_with_long_answer},
        harness::{Cluster, ClusterSpec, poll, wait_until_served},
    },
    nix::sys::signal::Signal,
    std::{
        cell::{Cell, RefCell},
        time::Duration,
    },
};

/// The shutdown deadline in the harness's settings, plus slack for a slow machine.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(11);

/// A gateway is stopped while it streams responses. All must complete, and the process must exit
/// before its deadline.
#[actix_web::test]
async fn gateway_under_load() {
    let spec = ClusterSpec {
        engine: EngineSettings::default(),
        ..ClusterSpec::default()
    };
    let mut cluster = Cluster::start(spec).await.unwrap();
    let text = message_with_long_answer("notes-1-v1");
    let calls = (0..8).map(|_| {
        Call::chat(
            cluster.caller_address(1),
            cluster.key("courier"),
            "notes-1",
            &text,
            64,
            true,
        )
    });
    let streams: Vec<_> = calls
        .map(|call| actix_web::rt::spawn(async move { call.send().await }))
        .collect();
    cluster.wait_for_tokens(40).await.unwrap();
    let gateway = RefCell::new(cluster.vms[0].gateway.take().unwrap());
    assert!(gateway.borrow().signal(Signal::SIGTERM));
    let ended = poll("exit", SHUTDOWN_TIMEOUT, || async {
        gateway.borrow_mut().ended().ok_or_else(String::new)
    });
    let (took, status) = ended.await.unwrap();
    println!("ended after {took:?}: {status}");
    assert!(status.success(), "{status}");
    for stream in streams {
        let answer = stream.await.unwrap().unwrap();
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text, expected_chat_answer("notes-1-v1", &text, 64));
    }
    let other = Call::chat(
        cluster.caller_address(2),
        cluster.key("clinic"),
        "notes-1",
        "hi",
        16,
        true,
    );
    assert!(other.send().await.unwrap().is_complete());
}

/// A stopping controller must release its leases, or adapters that are not loaded wait until the
/// leases expire.
#[actix_web::test]
async fn stopped_controller_releases_leases() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let controller = RefCell::new(cluster.vms[0].controller.take().unwrap());
    assert!(controller.borrow().signal(Signal::SIGTERM));
    let ended = poll("exit", SHUTDOWN_TIMEOUT, || async {
        controller.borrow_mut().ended().ok_or_else(String::new)
    });
    let (took, status) = ended.await.unwrap();
    assert!(status.success(), "{status}");
    let cold = wait_until_served(&cluster, 1, "notes-5", Duration::from_secs(10)).await;
    println!("ended after {took:?}, a cold adapter served {cold:?} later");
}

/// A rolling restart of all VMs behind a balancer that uses ready VMs only: no request may fail.
#[actix_web::test]
async fn rolling_restart() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let key = cluster.key("clinic").to_owned();
    let balancer = RefCell::new(vec![cluster.caller_address(1), cluster.caller_address(2)]);
    let done = Cell::new(false);
    let client = |n: u32| {
        let (balancer, done, key) = (&balancer, &done, &key);
        async move {
            let (mut whole, mut failed) = (0, Vec::new());
            let mut slowest = Duration::ZERO;
            while !done.get() {
                let to = {
                    let ready = balancer.borrow();
                    ready[n as usize % ready.len()]
                };
                let model = format!("notes-{n}");
                let call = Call::chat(to, key, &model, "hi", 16, true);
                match call.send().await {
                    Ok(answer) if answer.is_complete() => {
                        whole += 1;
                        slowest = slowest.max(answer.took);
                    }
                    Ok(answer) => failed.push(format!("{} {}", answer.status, answer.code())),
                    Err(e) => failed.push(e.to_string()),
                }
            }
            println!("client {n}: {whole} whole, the slowest in {slowest:?}");
            (whole, failed)
        }
    };
    let replace = async {
        for vm in [1, 2] {
            balancer
                .borrow_mut()
                .retain(|to| *to != cluster.caller_address(vm));
            stop_and_start(&mut cluster, vm).await;
            cluster.wait_until_ready(vm).await.unwrap();
            balancer.borrow_mut().push(cluster.caller_address(vm));
        }
        done.set(true);
    };
    let clients = futures::future::join_all((1..=4).map(client));
    let (clients, ()) = futures::join!(clients, replace);
    let whole: u32 = clients.iter().map(|(whole, _)| whole).sum();
    let failed: Vec<_> = clients.into_iter().flat_map(|(_, failed)| failed).collect();
    println!("{whole} whole, failed: {failed:?}");
    assert!(whole > 0 && failed.is_empty(), "{failed:?}");
}

async fn stop_and_start(
    cluster: &mut Cluster,
    vm: u32,
) {
    let vm_daemons = &mut cluster.vms[vm as usize - 1];
    for daemon in [vm_daemons.gateway.take(), vm_daemons.controller.take()]
        .into_iter()
        .flatten()
    {
        let daemon = RefCell::new(daemon);
        assert!(daemon.borrow().signal(Signal::SIGTERM));
        let ended = || async { daemon.borrow_mut().ended().ok_or_else(String::new) };
        let (_, status) = poll("exit", SHUTDOWN_TIMEOUT, ended).await.unwrap();
        assert!(status.success(), "{status}");
    }
    vm_daemons.start_controller().unwrap();
    vm_daemons.start_gateway().unwrap();
}
