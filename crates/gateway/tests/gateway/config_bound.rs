//! How long a gateway goes on with a configuration that nobody confirms.

use {
    crate::support::{self, Bench, BenchSpec, FakeController, Told},
    serde_json::json,
    std::time::Duration,
};

fn short() -> BenchSpec {
    BenchSpec {
        config_stale_ms: 1_500,
        ..BenchSpec::default()
    }
}

async fn refused_within(
    bench: &Bench,
    bound: Duration,
) -> bool {
    let call = bench.chat("base", "hello", 4, false);
    let look = || async {
        let answer = support::answer(&call).await;
        let refused = answer.code() == "config_unavailable";
        refused.then_some(()).ok_or(answer.code().to_owned())
    };
    jasmine_testkit::harness::poll("refusal", bound, look)
        .await
        .is_ok()
}

#[actix_rt::test]
async fn cut_off() {
    // One VM loses touch with the store and with all other VMs. A key withdrawn meanwhile would work
    // there for as long as that lasts.
    let bench = Bench::start(short()).await;
    bench.controller.told().fresh_ms = None;
    assert!(refused_within(&bench, Duration::from_secs(4)).await);
    let answer = support::answer(&bench.chat("base", "hello", 4, false)).await;
    assert_eq!((answer.status, answer.header("retry-after")), (503, "5"));
    bench.wait_ready(false).await;
    bench.controller.told().fresh_ms = Some(0);
    bench.wait_ready(true).await;
    assert!(
        support::answer(&bench.chat("base", "hello", 4, false))
            .await
            .is_whole()
    );
}

#[actix_rt::test]
async fn minority_cut_off() {
    // Two of five VMs are cut off together from the store and from the other three. They reach each
    // other, and would vouch for each other's configuration although the rest has moved on.
    let bench = Bench::start(short()).await;
    let reached = FakeController::start(Told::default());
    let gone = FakeController::start(Told::default());
    reached.told().fresh_ms = Some(3_600_000);
    bench.controller.told().others = (2..=5)
        .map(|vm| {
            (
                vm,
                if vm == 2 {
                    reached.address
                } else {
                    gone.address
                },
            )
        })
        .collect();
    bench.controller.told().fresh_ms = Some(3_600_000);
    assert!(refused_within(&bench, Duration::from_secs(5)).await);
}

#[actix_rt::test]
async fn store_down() {
    // The store is out for everybody; the VMs are in touch. Nobody can accept an edit, so nothing can
    // have changed; refusing would make each outage of the store one of the whole service.
    let bench = Bench::start(short()).await;
    let others = FakeController::start(Told::default());
    others.told().fresh_ms = Some(3_600_000);
    bench.controller.told().others = (2..=5).map(|vm| (vm, others.address)).collect();
    bench.controller.told().fresh_ms = Some(3_600_000);
    assert!(!refused_within(&bench, Duration::from_secs(4)).await);
}

#[actix_rt::test]
async fn never_older() {
    // After a switch to another controller an older configuration arrives. A withdrawn key would work
    // again.
    let bench = Bench::start(BenchSpec::default()).await;
    let old = bench.controller.told().tree.clone();
    bench.controller.edit(json!([
        {"op": "set", "path": "/accounts/clinic/first", "setting": "withdrawn", "value": true},
    ]));
    let call = bench.chat("base", "hello", 4, false);
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
    bench.controller.told().tree = old;
    for _ in 0..20 {
        assert_eq!(support::answer(&call).await.code(), "key_withdrawn");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
