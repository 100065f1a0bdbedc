//! An engine of which its owner tells before the gateway has the configuration that lists it.

use {
    crate::support::{Bench, BenchSpec},
    jasmine_testkit::harness::poll,
    serde_json::json,
    std::time::Duration,
};

const BOUND: Duration = Duration::from_secs(10);

/// Waits for so many more questions, of which the controller answers at most ten a second.
async fn more_asked(
    bench: &Bench,
    more: u64,
) {
    let wanted = bench.controller.told().asked + more;
    let look = || async {
        let asked = bench.controller.told().asked;
        if asked >= wanted {
            Ok(())
        } else {
            Err(format!("{asked} of {wanted}"))
        }
    };
    poll("questions", BOUND, look).await.expect("questions");
}

/// An operator adds an engine. Its owner has the new configuration first and tells of the engine at
/// once; the gateway can do nothing with that yet. Changes are told once: without asking again it
/// would know nothing of the engine's health and residents until the next change, and callers would
/// be sent to an engine that can't serve them or wait for loads of what is there.
#[actix_rt::test]
async fn asked_again() {
    let bench = Bench::start(BenchSpec::default()).await;
    let controller = &bench.controller;
    let known = controller.told().engines.values().next().copied();
    let at = known.expect("an engine");
    let asked = || controller.told().asked_for_all;
    let next = {
        let fleet = controller.told().tree.resolve();
        let numbers = fleet.upstreams.iter().map(|upstream| upstream.id.0);
        numbers.max().expect("an upstream") + 1
    };
    // The gateway serves before it has asked for the first time.
    more_asked(&bench, 3).await;
    let before = asked();
    controller.told().engines.insert(next, at);
    more_asked(&bench, 5).await;
    assert_eq!(asked(), before, "asked for what no configuration lists");

    controller.edit(json!([{
        "op": "create", "path": "/upstreams/engine-late", "kind": "engine",
        "settings": {"address": at, "model": "base", "slots": 4, "max_batch": 8, "data_centre": "dc-1"},
    }]));
    let fleet = controller.told().tree.resolve();
    let listed = fleet
        .upstreams
        .iter()
        .find(|known| known.name == "engine-late");
    assert_eq!(listed.expect("listed").id.0, next);
    let look = || async {
        match asked() - before {
            0 => Err("not asked again".to_owned()),
            _ => Ok(()),
        }
    };
    poll("asked for all engines", BOUND, look)
        .await
        .expect("asked again");
    let once = asked();
    more_asked(&bench, 20).await;
    assert_eq!(asked(), once, "asked although it has been told");
}
