//! An engine that its owner reports before the gateway has the configuration that contains it.

use {
    crate::support::{FixtureSettings, GatewayFixture},
    jasmine_testkit::harness::poll,
    serde_json::json,
    std::time::Duration,
};

const POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits for `more` upstream polls; the controller answers at most ten per second.
async fn wait_for_polls(
    fixture: &GatewayFixture,
    more: u64,
) {
    let target = fixture.controller.state().upstream_polls + more;
    let check = || async {
        let polls = fixture.controller.state().upstream_polls;
        if polls >= target {
            Ok(())
        } else {
            Err(format!("{polls} of {target}"))
        }
    };
    poll("upstream polls", POLL_TIMEOUT, check)
        .await
        .expect("upstream polls");
}

/// Guards against a missing state of an engine that was reported before its configuration arrived:
/// changes are reported once, so the gateway must poll all engines again.
#[actix_rt::test]
async fn engine_reported_before_config_is_polled_again() {
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let controller = &fixture.controller;
    let first_engine = controller.state().engines.values().next().copied();
    let engine_address = first_engine.expect("an engine");
    let full_polls = || controller.state().full_upstream_polls;
    let next_upstream_id = {
        let fleet = controller.state().tree.resolve();
        let numbers = fleet.upstreams.iter().map(|upstream| upstream.id.0);
        numbers.max().expect("an upstream") + 1
    };
    // The gateway is ready before its first poll.
    wait_for_polls(&fixture, 3).await;
    let polls_before = full_polls();
    controller
        .state()
        .engines
        .insert(next_upstream_id, engine_address);
    wait_for_polls(&fixture, 5).await;
    assert_eq!(
        full_polls(),
        polls_before,
        "full poll for an engine that is not configured"
    );

    controller.edit(json!([{
        "op": "create", "path": "/upstreams/engine-late", "kind": "engine",
        "settings": {"address": engine_address, "model": "base", "slots": 4, "max_batch": 8, "data_centre": "dc-1"},
    }]));
    let fleet = controller.state().tree.resolve();
    let listed = fleet
        .upstreams
        .iter()
        .find(|upstream| upstream.name == "engine-late");
    assert_eq!(listed.expect("listed").id.0, next_upstream_id);
    let check = || async {
        match full_polls() - polls_before {
            0 => Err("no full poll yet".to_owned()),
            _ => Ok(()),
        }
    };
    poll("full poll", POLL_TIMEOUT, check)
        .await
        .expect("full poll");
    let polls_after_edit = full_polls();
    wait_for_polls(&fixture, 20).await;
    assert_eq!(
        full_polls(),
        polls_after_edit,
        "repeated full poll without a change"
    );
}
