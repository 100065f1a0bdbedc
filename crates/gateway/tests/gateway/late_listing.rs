//! An engine of which its owner tells before the gateway has the configuration that lists it.

use {
    crate::support::{FixtureSettings, GatewayFixture},
    jasmine_testkit::harness::poll,
    serde_json::json,
    std::time::Duration,
};

const POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits for so many more questions, of which the controller answers at most ten a second.
async fn wait_for_polls(
    fixture: &GatewayFixture,
    more: u64,
) {
    let wanted = fixture.controller.state().upstream_polls + more;
    let check = || async {
        let polls = fixture.controller.state().upstream_polls;
        if polls >= wanted {
            Ok(())
        } else {
            Err(format!("{polls} of {wanted}"))
        }
    };
    poll("questions", POLL_TIMEOUT, check)
        .await
        .expect("questions");
}

/// An operator adds an engine. Its owner has the new configuration first and tells of the engine at
/// once; the gateway can do nothing with that yet. Changes are told once: without asking again it
/// would know nothing of the engine's health and residents until the next change, and callers would
/// be sent to an engine that can't serve them or wait for loads of what is there.
#[actix_rt::test]
async fn asked_again() {
    let fixture = GatewayFixture::start(FixtureSettings::default()).await;
    let controller = &fixture.controller;
    let known = controller.state().engines.values().next().copied();
    let at = known.expect("an engine");
    let full_polls = || controller.state().full_upstream_polls;
    let next = {
        let fleet = controller.state().tree.resolve();
        let numbers = fleet.upstreams.iter().map(|upstream| upstream.id.0);
        numbers.max().expect("an upstream") + 1
    };
    // The gateway serves before it has asked for the first time.
    wait_for_polls(&fixture, 3).await;
    let before = full_polls();
    controller.state().engines.insert(next, at);
    wait_for_polls(&fixture, 5).await;
    assert_eq!(
        full_polls(),
        before,
        "asked for what no configuration lists"
    );

    controller.edit(json!([{
        "op": "create", "path": "/upstreams/engine-late", "kind": "engine",
        "settings": {"address": at, "model": "base", "slots": 4, "max_batch": 8, "data_centre": "dc-1"},
    }]));
    let fleet = controller.state().tree.resolve();
    let listed = fleet
        .upstreams
        .iter()
        .find(|known| known.name == "engine-late");
    assert_eq!(listed.expect("listed").id.0, next);
    let check = || async {
        match full_polls() - before {
            0 => Err("not asked again".to_owned()),
            _ => Ok(()),
        }
    };
    poll("asked for all engines", POLL_TIMEOUT, check)
        .await
        .expect("asked again");
    let once = full_polls();
    wait_for_polls(&fixture, 20).await;
    assert_eq!(full_polls(), once, "asked although it has been told");
}
