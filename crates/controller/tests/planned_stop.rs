//! Planned stop of a controller.

mod support;

use {
    jasmine_testkit::{
        engine::{self, EngineSettings},
        harness::poll,
    },
    nix::sys::signal::Signal,
    std::time::Duration,
    support::{Fleet, LEASE_EXPIRY_TIMEOUT, REPLY_TIMEOUT, setup_ops},
};

/// Guards against engines that stay without an active owner until the lease of a stopped controller
/// expires.
#[actix_web::test]
async fn engines_handed_over() {
    let engines: Vec<_> = (0..3)
        .map(|_| engine::start(support::any_local_port(), EngineSettings::default()).unwrap())
        .collect();
    let addresses: Vec<_> = engines
        .iter()
        .map(jasmine_testkit::RunningServer::address)
        .collect();
    let mut fleet = Fleet::start(2).await;
    let answer = fleet.edit(1, "first", setup_ops(&addresses)).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let check = || async {
        let owned = fleet.owned(2).await;
        match owned.iter().map(|row| row.1).sum() {
            3_u64 if owned[0].1 > 0 => Ok(()),
            _ => Err(format!("{owned:?}")),
        }
    };
    poll("all engines owned", LEASE_EXPIRY_TIMEOUT, check)
        .await
        .unwrap();

    assert!(fleet.at(1).daemon.signal(Signal::SIGTERM));
    let check = || async {
        match fleet.owned(2).await.as_slice() {
            [(2, 3)] => Ok(()),
            owned => Err(format!("{owned:?}")),
        }
    };
    let (took, ()) = poll("the other owns all", REPLY_TIMEOUT, check)
        .await
        .unwrap();
    println!("engines handed over {took:?} after the signal");
    // The 2 s lease was renewed at most 0.7 s ago, so it would expire after at least 1.3 s.
    assert!(took < Duration::from_secs(1), "{took:?}");
    let controller = &mut fleet.controllers[0];
    let mut ended = None;
    for _ in 0..100 {
        ended = controller.daemon.ended();
        if ended.is_some() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    let lines = controller.daemon.lines();
    assert!(
        lines
            .iter()
            .any(|line| line.contains("event=stopped finished=true")),
        "{lines:?}"
    );
}
