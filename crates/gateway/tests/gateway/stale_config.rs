//! How long a gateway serves with a configuration that is no longer confirmed.

use {
    crate::support::{self, ControllerState, FakeController, FixtureSettings, GatewayFixture},
    serde_json::json,
    std::time::Duration,
};

fn short_config_staleness() -> FixtureSettings {
    FixtureSettings {
        config_stale_ms: 1_500,
        ..FixtureSettings::default()
    }
}

async fn is_refused_within(
    fixture: &GatewayFixture,
    bound: Duration,
) -> bool {
    let call = fixture.chat("base", "hello", 4, false);
    let check = || async {
        let answer = support::answer(&call).await;
        let refused = answer.code() == "config_unavailable";
        refused.then_some(()).ok_or(answer.code().to_owned())
    };
    jasmine_testkit::harness::poll("refusal", bound, check)
        .await
        .is_ok()
}

#[actix_rt::test]
async fn cut_off() {
    // Guards against accepting withdrawn keys on a VM that is isolated from the store and other VMs.
    let fixture = GatewayFixture::start(short_config_staleness()).await;
    fixture.controller.state().fresh_ms = None;
    assert!(is_refused_within(&fixture, Duration::from_secs(4)).await);
    let answer = support::answer(&fixture.chat("base", "hello", 4, false)).await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, "5"));
    fixture.wait_ready(false).await;
    fixture.controller.state().fresh_ms = Some(0);
    fixture.wait_ready(true).await;
    assert!(
        support::answer(&fixture.chat("base", "hello", 4, false))
            .await
            .is_complete()
    );
}

#[actix_rt::test]
async fn polls_recover_from_timeouts() {
    // Guards against polls that go on closing each other's connections after one of them has timed out.
    let fixture = GatewayFixture::start(short_config_staleness()).await;
    // Together with the 2 s that a poll is held, well within the gateway's 3.5 s.
    fixture.controller.state().config_delay = Duration::from_millis(600);
    fixture.controller.state().fresh_ms = None;
    // Two polls of the configuration time out after 3.5 s each.
    tokio::time::sleep(Duration::from_secs(8)).await;
    fixture.wait_ready(false).await;
    fixture.controller.state().fresh_ms = Some(0);
    fixture.wait_ready(true).await;
}

#[actix_rt::test]
async fn isolated_minority_is_refused() {
    // Guards against two of five VMs that confirm each other's outdated configuration while isolated
    // from the store and the majority.
    let fixture = GatewayFixture::start(short_config_staleness()).await;
    let reachable = FakeController::start(fixture.host, ControllerState::default());
    let unreachable = FakeController::start(fixture.host, ControllerState::default());
    reachable.state().fresh_ms = Some(3_600_000);
    fixture.controller.state().other_vms = (2..=5)
        .map(|vm| {
            (
                vm,
                if vm == 2 {
                    reachable.address
                } else {
                    unreachable.address
                },
            )
        })
        .collect();
    fixture.controller.state().fresh_ms = Some(3_600_000);
    assert!(is_refused_within(&fixture, Duration::from_secs(5)).await);
}

#[actix_rt::test]
async fn store_outage_does_not_refuse_requests() {
    // Guards against refusing requests during a store outage while the VMs reach each other: without the
    // store the configuration can't change.
    let fixture = GatewayFixture::start(short_config_staleness()).await;
    let reachable = FakeController::start(fixture.host, ControllerState::default());
    reachable.state().fresh_ms = Some(3_600_000);
    fixture.controller.state().other_vms = (2..=5).map(|vm| (vm, reachable.address)).collect();
    fixture.controller.state().fresh_ms = Some(3_600_000);
    assert!(!is_refused_within(&fixture, Duration::from_secs(4)).await);
}

#[actix_rt::test]
async fn older_config_is_ignored() {
    // Guards against accepting a withdrawn key again after receiving an older configuration.
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let old = fixture.controller.state().tree.clone();
    fixture.controller.edit(json!([
        {"op": "set", "path": "/accounts/clinic/first", "setting": "withdrawn", "value": true},
    ]));
    let call = fixture.chat("base", "hello", 4, false);
    let withdrawn = || async {
        let answer = support::answer(&call).await;
        (answer.code() == "key_withdrawn")
            .then_some(())
            .ok_or(format!("{answer:?}"))
    };
    let bound = Duration::from_secs(3);
    jasmine_testkit::harness::poll("withdrawn", bound, withdrawn)
        .await
        .expect("withdrawn");
    fixture.controller.state().tree = old;
    for _ in 0..20 {
        assert_eq!(support::answer(&call).await.code(), "key_withdrawn");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
