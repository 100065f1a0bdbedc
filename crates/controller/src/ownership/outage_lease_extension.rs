use {
    crate::{session::LeaseSession, shared::SharedState},
    futures::future::join_all,
    jasmine_core::{clock::Millis, ids::VmId},
    rand::seq::IndexedRandom,
    std::rc::Rc,
};

/// Maximum number of controllers asked whether they reach the store.
const MAX_ASKED_CONTROLLERS: usize = 5;

/// How long an extension lasts.
const EXTENSION_DURATION: Millis = Millis(3_000);

/// Lets owners keep sending orders while the store is unavailable to the whole fleet.
///
/// Leases can't be renewed during an outage, but no other controller can become owner either. A VM
/// that is partitioned or was suspended must not extend its lease, so a sample of the other
/// controllers is asked: no extension if any of them reaches the store or fewer than half answer. If a
/// whole part of the fleet is partitioned, the ownership state machine still protects engines: late
/// loads get instance names that nobody routes to, and unloads need a confirmation of each holder.
#[derive(Debug)]
pub struct OutageLeaseExtension {
    shared: SharedState,
    session: Rc<LeaseSession>,
}

impl OutageLeaseExtension {
    /// Creates an extension of the lease of `session`.
    pub const fn new(
        shared: SharedState,
        session: Rc<LeaseSession>,
    ) -> Self {
        Self { shared, session }
    }

    /// Returns the time until which orders may be sent, on this process's clock.
    pub async fn expiry(&self) -> Millis {
        let held = self.session.expiry();
        // Only a lease that is not known to have ended can be extended.
        if self.session.valid_lease().is_some() || self.session.id().is_none() {
            return held;
        }
        let asked = self.shared.clock.now();
        if self.is_store_down_for_all().await {
            return asked + EXTENSION_DURATION;
        }
        held
    }

    async fn is_store_down_for_all(&self) -> bool {
        let others: Vec<VmId> = {
            let fleet = self.shared.fleet.borrow();
            let vms = fleet.members.keys().copied();
            vms.filter(|&vm| vm != self.shared.me.vm).collect()
        };
        let asked: Vec<VmId> = others
            .choose_multiple(&mut rand::rng(), MAX_ASKED_CONTROLLERS)
            .copied()
            .collect();
        let answers = join_all(asked.iter().map(|&vm| self.shared.links.status(vm))).await;
        let answered: Vec<_> = answers.into_iter().flatten().collect();
        answered.len() * 2 >= asked.len() && answered.iter().all(|status| !status.store_up)
    }
}
