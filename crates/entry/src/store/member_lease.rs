//! This VM's entry in the store, and its lease.

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

/// How long a VM's lease lasts. Its entry only tells where it listens; who relies on a VM that is gone notices by its
/// silence. Renewals of eighty VMs twice in a lease of 1.6 s were a third of what the store was asked.
const LEASE: Millis = Millis(6_000);
/// How often it is renewed: two may be lost.
const RENEW_EVERY: Millis = Millis(1_800);
/// The pause after a failed call, and after more of them.
const RETRY_FIRST: Millis = Millis(200);
const RETRY_MOST: Millis = Millis(800);

/// Keeps this VM's entry in the store, for ever.
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

/// Ends this VM's leases, and with them its entry and its lead.
///
/// # Errors
///
/// Whatever the store says; the leases then end by themselves.
pub async fn leave(
    store: &KvStore,
    membership: &Membership,
) -> Result<(), StoreError> {
    // The lead first: another VM waits for it.
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

/// Renews the lease until it has ended.
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
