//! Daemons that are told to stop while they are at work.

use {
    jasmine_testkit::{
        client::Call,
        engine::{EngineSettings, chat_answer, long_message},
        harness::{Cluster, ClusterSpec, poll},
    },
    nix::sys::signal::Signal,
    std::{cell::RefCell, time::Duration},
};

/// The deadline of a stop in the harness's settings, with room for a slow machine.
const BOUND: Duration = Duration::from_secs(11);

/// A VM is replaced while answers stream through it. They all end whole, the process ends by itself
/// before its deadline, and callers of the other VM notice nothing.
#[actix_web::test]
async fn gateway_under_load() {
    let spec = ClusterSpec {
        engine: EngineSettings::default(),
        ..ClusterSpec::default()
    };
    let mut cluster = Cluster::start(spec).await.unwrap();
    let text = long_message("notes-1-v1");
    let calls = (0..8).map(|_| {
        Call::chat(
            cluster.callers(1),
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
    let ended = poll("exit", BOUND, || async {
        gateway.borrow_mut().ended().ok_or_else(String::new)
    });
    let (took, status) = ended.await.unwrap();
    println!("ended after {took:?}: {status}");
    assert!(status.success(), "{status}");
    for stream in streams {
        let answer = stream.await.unwrap().unwrap();
        assert!(answer.is_whole(), "{answer:?}");
        assert_eq!(answer.text, chat_answer("notes-1-v1", &text, 64));
    }
    let other = Call::chat(
        cluster.callers(2),
        cluster.key("clinic"),
        "notes-1",
        "hi",
        16,
        true,
    );
    assert!(other.send().await.unwrap().is_whole());
}

/// A controller is told to stop. It gives back its leases, so that another owns its engines at once
/// instead of after they lapse, and cold adapters hardly wait.
#[actix_web::test]
async fn controller_hands_over() {
    let mut cluster = Cluster::start(ClusterSpec::default()).await.unwrap();
    let controller = RefCell::new(cluster.vms[0].controller.take().unwrap());
    assert!(controller.borrow().signal(Signal::SIGTERM));
    let ended = poll("exit", BOUND, || async {
        controller.borrow_mut().ended().ok_or_else(String::new)
    });
    let (took, status) = ended.await.unwrap();
    assert!(status.success(), "{status}");
    let look = || async {
        let call = Call::chat(
            cluster.callers(1),
            cluster.key("clinic"),
            "notes-5",
            "hi",
            16,
            true,
        );
        match call.send().await {
            Ok(answer) if answer.is_whole() => Ok(()),
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    let (cold, ()) = poll("cold adapter", Duration::from_secs(10), look)
        .await
        .unwrap();
    println!("ended after {took:?}, a cold adapter served {cold:?} later");
}
