use {
    super::LeaseValidity,
    crate::clock::{ChangeNotifier, MonotonicClock},
    jasmine_core::clock::Millis,
    jasmine_store::store::{LeaseId, Store, StoreError},
    jasmine_telemetry::log::Line,
    jasmine_wire::link::Backoff,
    std::{cell::Cell, rc::Rc},
};

/// Renewals per lease TTL; the lease survives two failed ones.
pub const RENEWALS_PER_TTL: u64 = 3;

/// Delay after the first failed call.
const MIN_RETRY_DELAY: Millis = Millis(100);

/// Keeps a lease alive and obtains a new one after it was lost.
pub struct LeaseSession {
    store: Rc<dyn Store>,
    clock: MonotonicClock,
    ttl: Millis,
    lease: LeaseValidity,
    has_ended: Cell<bool>,
    /// Raised when a lease is granted, renewed or lost.
    pub changed: ChangeNotifier,
}

impl std::fmt::Debug for LeaseSession {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("LeaseSession")
            .field("lease", &self.lease)
            .finish_non_exhaustive()
    }
}

impl LeaseSession {
    /// Creates a session without a lease.
    pub fn new(
        store: Rc<dyn Store>,
        clock: MonotonicClock,
        ttl: Millis,
    ) -> Self {
        Self {
            store,
            clock,
            ttl,
            lease: LeaseValidity::default(),
            has_ended: Cell::new(false),
            changed: ChangeNotifier::new(),
        }
    }

    /// Returns the lease while it is certainly valid.
    pub fn valid_lease(&self) -> Option<LeaseId> {
        self.lease.valid_lease(self.clock.now())
    }

    /// Returns the latest lease, which may have expired.
    pub fn id(&self) -> Option<LeaseId> {
        self.lease.id()
    }

    /// Returns the end of the lease's certain validity; zero without a lease.
    pub fn expiry(&self) -> Millis {
        self.lease.expiry()
    }

    /// Obtains and renews the lease until the session has ended.
    pub async fn run(&self) {
        let renewal_interval = Millis(self.ttl.0 / RENEWALS_PER_TTL);
        let mut backoff = Backoff::new(MIN_RETRY_DELAY, renewal_interval);
        while !self.has_ended.get() {
            let delay = match self.step().await {
                Ok(()) => {
                    backoff.reset();
                    renewal_interval
                }
                Err(e) => {
                    Line::new("lease_call_failed").with("error", &e).warn();
                    backoff.next_delay()
                }
            };
            tokio::time::sleep(delay.to_std()).await;
        }
    }

    /// Revokes the lease, which deletes all keys attached to it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store didn't confirm it; the lease then expires after its TTL.
    pub async fn end(&self) -> Result<(), StoreError> {
        self.has_ended.set(true);
        let Some(id) = self.lease.id() else {
            return Ok(());
        };
        self.lease.clear();
        self.changed.raise();
        self.store.revoke(id).await
    }

    async fn step(&self) -> Result<(), StoreError> {
        match self.lease.id() {
            None => self.grant().await,
            Some(id) => self.renew(id).await,
        }
    }

    async fn grant(&self) -> Result<(), StoreError> {
        let sent = self.clock.now();
        let lease = self.store.grant(self.ttl).await?;
        // If the session ended during the call, let the new lease expire.
        if !self.has_ended.get() {
            let until = self.lease.confirm(lease, sent);
            Line::new("lease_taken")
                .with("lease", lease.id)
                .with("until_ms", until)
                .info();
            self.changed.raise();
        }
        Ok(())
    }

    async fn renew(
        &self,
        id: LeaseId,
    ) -> Result<(), StoreError> {
        let sent = self.clock.now();
        let renewed = self.store.keep_alive(id).await?;
        match renewed {
            _ if self.has_ended.get() => {}
            Some(lease) => {
                self.lease.confirm(lease, sent);
                self.changed.raise();
            }
            None => {
                Line::new("lease_lost").with("lease", id).warn();
                self.lease.clear();
                self.changed.raise();
                self.grant().await?;
            }
        }
        Ok(())
    }
}
