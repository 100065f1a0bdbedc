//! Stores where streams began while a service has several builds, for a loss of all VMs.

use {
    super::{stored_origins::PREFIX, stored_page::encode_page},
    crate::{context::Context, store::KvStore},
    jasmine_core::{clock::Millis, streams::StreamPage},
    jasmine_store::store::{Lease, LeaseId, Op, Store, StoreError, Txn},
    jasmine_telemetry::log::Line,
    std::rc::Rc,
    tokio::time::sleep,
};

/// Shortest time from one write to the next.
const MIN_INTERVAL: Millis = Millis(250);
/// Time for the write of each VM, so that all of them together write 25 times a second at most.
const INTERVAL_PER_VM: Millis = Millis(40);
/// How long stored origins are kept; their VM may be gone.
const LEASE_TTL: Millis = Millis(120_000);
/// Age of a lease from which the next page is stored under a new one.
const MAX_LEASE_AGE: Millis = Millis(60_000);

/// The lease of the latest pages, and when it was requested.
type AgedLease = (Lease, Millis);

/// Stores the origins of this VM's streams while their service has several builds; never returns.
pub async fn keep_origins_stored(
    cx: Rc<Context>,
    store: KvStore,
    incarnation: u64,
) {
    let prefix = format!("{PREFIX}{}/{incarnation:x}", cx.settings.vm);
    let mut lease: Option<AgedLease> = None;
    loop {
        let vms = cx.origins.vms() as u64;
        sleep(MIN_INTERVAL.max(Millis(INTERVAL_PER_VM.0 * vms)).to_std()).await;
        let has_several = |service: &str| cx.scheduling.known_builds(service).only.is_none();
        let pages = cx.origins.take_unstored(has_several);
        if pages.is_empty() {
            continue;
        }
        if let Err(e) = write(&cx, &store, &prefix, &mut lease, &pages).await {
            Line::new("origins_not_stored")
                .with("pages", pages.len())
                .with("reason", e)
                .warn();
            lease = None;
            for (service, page) in &pages {
                cx.origins.put_back(service, page.slot);
            }
        }
    }
}

async fn write(
    cx: &Context,
    store: &KvStore,
    prefix: &str,
    lease: &mut Option<AgedLease>,
    pages: &[(String, StreamPage)],
) -> Result<(), StoreError> {
    let lease = current_lease(cx, store, lease).await?;
    let mut ops = Vec::new();
    for (service, page) in pages {
        match encode_page(service, page) {
            Ok(value) => {
                let key = format!("{prefix}/{service}/{}", page.slot);
                ops.push(Op::put_leased(key, value, lease));
            }
            Err(e) => Line::new("origins_not_stored")
                .with("service", service)
                .with("reason", e)
                .warn(),
        }
    }
    let txn = Txn {
        success: ops,
        ..Txn::default()
    };
    store.txn(txn).await.map(|_reply| ())
}

async fn current_lease(
    cx: &Context,
    store: &KvStore,
    lease: &mut Option<AgedLease>,
) -> Result<LeaseId, StoreError> {
    let now = cx.clock.now();
    match lease {
        Some((lease, since)) if now.since(*since) < MAX_LEASE_AGE => Ok(lease.id),
        _ => {
            let granted = store
                .grant(LEASE_TTL.max(cx.settings.least_lease_ms))
                .await?;
            *lease = Some((granted, now));
            Ok(granted.id)
        }
    }
}
