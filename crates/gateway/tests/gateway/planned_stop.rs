//! Planned shutdown: streams finish, rights are released, and the process exits before the deadline.

use {
    crate::support::{self, FixtureSettings, GatewayFixture, OTHER_KEY},
    jasmine_testkit::client::EndOfStream,
    nix::sys::signal::Signal,
    serde_json::json,
    std::time::{Duration, Instant},
};

async fn exits_successfully(fixture: &mut GatewayFixture) -> bool {
    for _ in 0..400 {
        if let Some(status) = fixture.gateway.ended() {
            return status.success();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}

#[actix_rt::test]
async fn streams_finish_before_shutdown() {
    // Guards against aborted streams and unreleased rights when a VM is replaced.
    // Long enough for a slow machine to send a request within the grace period, and one after it beside the stream.
    let mut settings = FixtureSettings {
        stop: (600, 5_000),
        ..FixtureSettings::default()
    };
    settings.engine.step_us = 40_000;
    let mut fixture = GatewayFixture::start(settings).await;
    let call = fixture.chat("base", "a long tale", 64, true);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(fixture.gateway.signal(Signal::SIGTERM));
        fixture.wait_ready(false).await;
        let early = support::answer(&fixture.chat("base", "hello", 4, false)).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        let late = support::answer(&fixture.chat("base", "hello", 4, false)).await;
        (early, late)
    };
    let (answer, (early, late)) = futures::future::join(support::answer(&call), stop).await;
    assert!(answer.is_complete(), "{answer:?}");
    assert!(early.is_complete(), "{early:?}");
    assert_eq!(late.code(), "shutting_down");
    assert_eq!(late.json["error"]["execution"], "not_run");
    assert!(exits_successfully(&mut fixture).await);
    assert_eq!(fixture.controller.state().released_accounts.len(), 2);
}

#[actix_rt::test]
async fn vm_excluded_from_the_epoch_exits() {
    // Guards against exceeding account rates when a VM resumes after the others redistributed its rights.
    let settings = FixtureSettings {
        // Long enough for a slow machine to send a request before the process exits.
        stop: (1_000, 5_000),
        ..FixtureSettings::default()
    };
    let mut fixture = GatewayFixture::start(settings).await;
    assert!(
        support::answer(&fixture.chat("base", "hello", 4, false))
            .await
            .is_complete()
    );
    fixture.controller.state().is_excluded_from_epoch = true;
    let refused = || async {
        let answer = support::answer(&fixture.chat("base", "hello", 4, false)).await;
        (answer.code() == "shutting_down")
            .then_some(())
            .ok_or(format!("{answer:?}"))
    };
    jasmine_testkit::harness::poll("refused", Duration::from_secs(3), refused)
        .await
        .expect("a refusal");
    // The process exits, so that a restarted one can join the membership.
    assert!(exits_successfully(&mut fixture).await);
    assert!(fixture.controller.state().released_accounts.is_empty());
}

#[actix_rt::test]
async fn deleted_account_is_not_released() {
    // Guards against releasing rights of deleted accounts, which would accumulate in the store.
    let mut fixture = GatewayFixture::start(FixtureSettings::default()).await;
    fixture.controller.edit(json!([
        {"op": "delete", "path": "/accounts/courier/first"},
        {"op": "delete", "path": "/accounts/courier"},
    ]));
    let refused = || async {
        let call = fixture.chat("base", "hello", 4, false).key(OTHER_KEY);
        let answer = support::answer(&call).await;
        (answer.code() == "key_unknown")
            .then_some(())
            .ok_or(format!("{answer:?}"))
    };
    jasmine_testkit::harness::poll("key unknown", Duration::from_secs(3), refused)
        .await
        .expect("a refusal");
    assert!(fixture.gateway.signal(Signal::SIGTERM));
    assert!(exits_successfully(&mut fixture).await);
    assert_eq!(fixture.controller.state().released_accounts.len(), 1);
}

#[actix_rt::test]
async fn shutdown_ends_before_its_deadline() {
    // Guards against exceeding the shutdown deadline with a long stream, and against a truncated stream
    // that looks complete.
    let mut settings = FixtureSettings {
        stop: (50, 1_500),
        ..FixtureSettings::default()
    };
    settings.engine.step_us = 200_000;
    let mut fixture = GatewayFixture::start(settings).await;
    let call = fixture.chat("base", "a long tale", 64, true);
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let started = Instant::now();
        assert!(fixture.gateway.signal(Signal::SIGTERM));
        started
    };
    let (answer, started) = futures::future::join(call.send(), stop).await;
    let end = answer.expect("an answer").end;
    assert_eq!(end, EndOfStream::Error("answer_cut".to_owned()));
    assert!(exits_successfully(&mut fixture).await);
    assert!(
        started.elapsed() < Duration::from_millis(1_700),
        "{:?}",
        started.elapsed()
    );
    assert_eq!(fixture.controller.state().released_accounts.len(), 2);
}
