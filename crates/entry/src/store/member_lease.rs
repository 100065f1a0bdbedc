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
const LEASE: Millis = Millis(6_000);
/// How often the lease is renewed; two renewals may fail before it expires.
const RENEW_EVERY: Millis = Millis(1_800);
/// Bounds of the backoff after failed calls.
const RETRY_FIRST: Millis = Millis(200);
const RETRY_MOST: Millis = Millis(800);

/// Keeps this VM registered in the store; never returns.
pub async fn keep_membership(
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
) {
    let mut backoff = Backoff::new(RETRY_FIRST, RETRY_MOST);
    loop {
        match enter(&cx, &store, &membership).await {
            Ok(lease) => {
                backoff.reset();
                stay(&store, &membership, lease).await;
            }
            Err(e) => {
                Line::new("lease_failed").with("reason", e).warn();
                sleep(backoff.next_pause().to_std()).await;
            }
        }
    }
}

/// Revokes this VM's leases, which removes its record and ends its leadership.
///
/// # Errors
///
/// Any error of the store; the leases then expire by themselves.
pub async fn leave(
    store: &KvStore,
    membership: &Membership,
) -> Result<(), StoreError> {
    // The leader's lease first, so that another VM can be elected.
    let leases = [membership.lead_lease.take(), membership.lease.take()];
    for lease in leases.into_iter().flatten() {
        store.revoke(lease.id).await?;
    }
    Ok(())
}

async fn enter(
    cx: &Context,
    store: &KvStore,
    membership: &Membership,
) -> Result<Lease, StoreError> {
    let ttl = LEASE.max(cx.settings.least_lease_ms);
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
async fn stay(
    store: &KvStore,
    membership: &Membership,
    lease: Lease,
) {
    loop {
        sleep(RENEW_EVERY.to_std()).await;
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
