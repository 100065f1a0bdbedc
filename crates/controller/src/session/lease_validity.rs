use {
    jasmine_core::clock::Millis,
    jasmine_store::store::{Lease, LeaseId},
    std::cell::Cell,
};

/// The last 1/10 of a lease is not used, as a margin for clock drift.
const DRIFT_DIVISOR: u64 = 10;

/// Tracks until when a lease is certainly valid, on this process's clock.
///
/// A lease may expire while its holder is suspended. The store counts the TTL from the renewal, which
/// is after the call was sent; counting from sending, less a margin for clock drift, makes the lease
/// end here before it ends in the store.
#[derive(Debug, Default)]
pub struct LeaseValidity {
    held: Cell<Option<(LeaseId, Millis)>>,
}

impl LeaseValidity {
    /// Records a lease confirmed by a call sent at `sent` and returns the end of its validity.
    pub fn confirm(
        &self,
        lease: Lease,
        sent: Millis,
    ) -> Millis {
        let validity = Millis(lease.ttl.0 - lease.ttl.0 / DRIFT_DIVISOR);
        let until = sent + validity;
        self.held.set(Some((lease.id, until)));
        until
    }

    /// Clears the lease after it has expired or was revoked.
    pub fn clear(&self) {
        self.held.set(None);
    }

    /// Returns the latest lease, which may have expired.
    pub fn id(&self) -> Option<LeaseId> {
        self.held.get().map(|(id, _)| id)
    }

    /// Returns the lease if it is certainly valid at `now`.
    pub fn valid_lease(
        &self,
        now: Millis,
    ) -> Option<LeaseId> {
        self.held
            .get()
            .filter(|&(_, until)| now < until)
            .map(|(id, _)| id)
    }

    /// Returns the end of the validity; zero without a lease.
    pub fn expiry(&self) -> Millis {
        self.held.get().map_or(Millis::ZERO, |(_, until)| until)
    }
}
