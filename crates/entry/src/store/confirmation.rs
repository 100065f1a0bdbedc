use {
    super::{ChangeSource, Feed, KvStore, view::View},
    crate::{clock::Clock, context::Context},
    jasmine_core::clock::Millis,
    jasmine_platform::entries,
    jasmine_store::store::StoreError,
    jasmine_telemetry::log::Line,
    std::rc::Rc,
    tokio::time::sleep,
};

/// Shortest time from one question to the next.
const MIN_INTERVAL: Millis = Millis(50);
/// Time for the question of each VM, so that all of them together ask a thousand times a second at most.
const INTERVAL_PER_VM: Millis = Millis(1);

/// Asks the store for changes of upstreams whenever a decision needs to know that this VM has missed none; never returns.
///
/// VMs that follow another one, and those that batch changes, learn of an upstream up to a second late, and later still
/// after they were suspended or cut off.
pub(super) async fn keep_confirming(
    cx: Rc<Context>,
    store: KvStore,
    feed: Rc<Feed>,
    view: Rc<View>,
) {
    loop {
        feed.confirmation_requested().await;
        let asked_at = Clock.now();
        match catch_up(&store, &feed, &view).await {
            Ok(()) => feed.set_confirmed_at(asked_at),
            Err(e) => {
                Line::new("upstreams_not_confirmed")
                    .with("revision", feed.revision())
                    .with("reason", e)
                    .info();
                feed.set_unconfirmed();
            }
        }
        let vms = cx.origins.vms() as u64;
        sleep(MIN_INTERVAL.max(Millis(INTERVAL_PER_VM.0 * vms)).to_std()).await;
    }
}

/// Applies the changes of upstreams that this VM doesn't know.
async fn catch_up(
    store: &KvStore,
    feed: &Feed,
    view: &Rc<View>,
) -> Result<(), StoreError> {
    let after = feed.revision();
    let batch = store.changes_since(entries::PREFIX, after).await?;
    if batch.compacted.is_some() {
        return Err(StoreError::OutcomeUnknown("history lost".to_owned()));
    }
    view.apply_all(&batch.events, &ChangeSource::Question).await;
    Ok(())
}
