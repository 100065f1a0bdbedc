//! Registration of this VM in the store, bound to a lease.

use {
    super::{KvStore, Membership, membership::VM_PREFIX},
    crate::context::Context,
    jasmine_core::clock::Millis,
    jasmine_store::store::{Lease, Op, Store, StoreError, Txn},
    jasmine_telemetry::log::Line,
    jasmine_wire::link::Backoff,
    std::rc::Rc,
    tokio::time::sleep,
};

/// Time to live of a VM's lease. Long to limit store load: failed VMs are detected by their silence, not by this.
///
/// With 1.6 s, the renewals of eighty VMs were a third of all calls to the store.
const VM_LEASE_TTL: Millis = Millis(6_000);
/// How often the lease is renewed; two renewals may fail before it expires.
const RENEW_INTERVAL: Millis = Millis(1_800);
/// Bounds of the backoff after failed calls.
const MIN_RETRY_DELAY: Millis = Millis(200);
const MAX_RETRY_DELAY: Millis = Millis(800);

/// Keeps this VM registered in the store; never returns.
pub async fn keep_registered(
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        match register(&cx, &store, &membership).await {
            Ok(lease) => {
                backoff.reset();
                renew_until_expired(&store, &membership, lease).await;
            }
            Err(e) => {
                Line::new("lease_failed").with("reason", e).warn();
                sleep(backoff.next_delay().to_std()).await;
            }
        }
    }
}

/// Revokes this VM's leases, which removes its record and ends its leadership.
///
/// # Errors
///
/// Any error of the store; the leases then expire by themselves.
pub async fn deregister(
    store: &KvStore,
    membership: &Membership,
) -> Result<(), StoreError> {
    // The leader's lease first, so that another VM can be elected.
    let leases = [membership.leader_lease.take(), membership.lease.take()];
    for lease in leases.into_iter().flatten() {
        store.revoke(lease.id).await?;
    }
    Ok(())
}

async fn register(
    cx: &Context,
    store: &KvStore,
    membership: &Membership,
) -> Result<Lease, StoreError> {
    let ttl = VM_LEASE_TTL.max(cx.settings.least_lease_ms);
    let lease = store.grant(ttl).await?;
    membership.lease.set(Some(lease));
    let me = membership.me();
    let txn = Txn {
        success: vec![Op::put_leased(
            format!("{VM_PREFIX}{}", me.vm),
            me.encode(),
            lease.id,
        )],
        ..Txn::default()
    };
    store.txn(txn).await?;
    Line::new("lease_taken").with("lease", lease.id).info();
    Ok(lease)
}

/// Renews the lease until it has expired.
async fn renew_until_expired(
    store: &KvStore,
    membership: &Membership,
    lease: Lease,
) {
    loop {
        sleep(RENEW_INTERVAL.to_std()).await;
        match store.keep_alive(lease.id).await {
            Ok(Some(_)) => {}
            Ok(None) => {
                Line::new("lease_lapsed").with("lease", lease.id).warn();
                membership.lease.set(None);
                return;
            }
            Err(e) => Line::new("renewal_failed").with("reason", e).info(),
        }
    }
}
