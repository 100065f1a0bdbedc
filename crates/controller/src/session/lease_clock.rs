use {
    jasmine_core::clock::Millis,
    jasmine_store::store::{Lease, LeaseId},
    std::cell::Cell,
};

/// The part of a lease, one in so many, that is not relied upon: the two clocks run unlike.
const DRIFT_DIVISOR: u64 = 10;

/// Until when a lease is surely held, by this process's own clock.
///
/// A lease lapses while its holder is paused and unaware. The store counts from when it renewed the
/// lease, which is after the call was sent; counting from the sending, less a margin for drift, this
/// clock always ends first.
#[derive(Debug, Default)]
pub struct LeaseClock {
    held: Cell<Option<(LeaseId, Millis)>>,
}

impl LeaseClock {
    /// Notes a lease that was confirmed by a call sent at `sent`.
    pub fn confirm(
        &self,
        lease: Lease,
        sent: Millis,
    ) -> Millis {
        let sure = Millis(lease.ttl.0 - lease.ttl.0 / DRIFT_DIVISOR);
        let until = sent + sure;
        self.held.set(Some((lease.id, until)));
        until
    }

    /// Notes that the lease is gone.
    pub fn lapse(&self) {
        self.held.set(None);
    }

    /// The lease, surely held or not.
    pub fn id(&self) -> Option<LeaseId> {
        self.held.get().map(|(id, _)| id)
    }

    /// The lease, if it is surely held at `now`.
    pub fn sure(
        &self,
        now: Millis,
    ) -> Option<LeaseId> {
        self.held
            .get()
            .filter(|&(_, until)| now < until)
            .map(|(id, _)| id)
    }

    /// Until when the lease is surely held; zero when there is none.
    pub fn until(&self) -> Millis {
        self.held.get().map_or(Millis::ZERO, |(_, until)| until)
    }
}
