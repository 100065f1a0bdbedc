//! Keeps the parts of prompts that crash upstreams in the store, so that VMs know them after a restart.

use {
    super::kv_store::{KvStore, MAX_TXN_OPS},
    crate::context::Context,
    jasmine_core::{
        clock::Millis,
        ids::InvalidPartId,
        quarantine::{PartSet, join_parts},
    },
    jasmine_store::store::{Op, Range, Store, Txn},
    jasmine_telemetry::log::Line,
    std::rc::Rc,
    tokio::time::{sleep, timeout},
};

/// Prefix of a key for each set of parts that is refused. Written by the leader; an operator deletes one to release it.
pub(super) const QUARANTINE_PREFIX: &str = "jasmine/quarantine/";

/// How often differences from the store are looked for, without a notification.
const CHECK_INTERVAL: Millis = Millis(500);
/// How long a VM that doesn't lead leaves it to the leader to write.
const FOLLOWER_DELAY: Millis = Millis(3_000);
/// Separates the parts in a key.
const SEPARATOR: &str = "-";

/// The key of a set of parts.
pub(super) fn key_of(parts: &PartSet) -> String {
    format!("{QUARANTINE_PREFIX}{}", join_parts(parts, SEPARATOR))
}

/// The parts that a key names after its prefix.
///
/// # Errors
///
/// If one of them is no id of a part.
pub(super) fn decode(name: &str) -> Result<PartSet, InvalidPartId> {
    name.split(SEPARATOR).map(str::parse).collect()
}

/// Writes what is refused to the store and, on the leader, deletes what isn't any more; never returns.
pub async fn keep_quarantine(
    cx: Rc<Context>,
    store: KvStore,
) {
    let local_scheduler = &cx.scheduling.local_scheduler;
    let mut differs_since: Option<Millis> = None;
    loop {
        let changed = timeout(
            CHECK_INTERVAL.to_std(),
            local_scheduler.quarantine_changed(),
        );
        // A check without a change retries failed writes.
        let _elapsed = changed.await;
        let is_leading = cx.scheduling.is_leading();
        let Some(txn) = difference(&cx, is_leading) else {
            differs_since = None;
            continue;
        };
        let now = cx.clock.now();
        let since = *differs_since.get_or_insert(now);
        if !is_leading && now.since(since) < FOLLOWER_DELAY {
            continue;
        }
        if let Err(e) = store.txn(txn).await {
            Line::new("quarantine_not_stored").with("reason", e).warn();
            sleep(CHECK_INTERVAL.to_std()).await;
        }
    }
}

/// The writes that bring the store up to date, if there are any.
fn difference(
    cx: &Context,
    is_leading: bool,
) -> Option<Txn> {
    let local_scheduler = &cx.scheduling.local_scheduler;
    let wanted = local_scheduler.quarantined();
    let stored = local_scheduler.stored_quarantine();
    let added = wanted.iter().filter(|parts| !stored.contains(parts));
    let is_removed = |parts: &&PartSet| is_leading && !wanted.contains(parts);
    let removed = stored.iter().filter(is_removed);
    let puts = added.map(|parts| Op::put(key_of(parts), b"{}"));
    let deletes = removed.map(|parts| Op::Delete(Range::key(key_of(parts))));
    let ops: Vec<Op> = puts.chain(deletes).take(MAX_TXN_OPS).collect();
    (!ops.is_empty()).then(|| Txn {
        success: ops,
        ..Txn::default()
    })
}
