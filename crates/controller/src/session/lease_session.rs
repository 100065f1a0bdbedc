use {
    super::LeaseClock,
    crate::clock::{OwnClock, Signal},
    jasmine_core::clock::Millis,
    jasmine_store::store::{LeaseId, Store, StoreError},
    jasmine_telemetry::log::Line,
    jasmine_wire::link::Backoff,
    std::{cell::Cell, rc::Rc},
};

/// Renewals in the time of one lease; two may be lost before it lapses.
pub const RENEWALS: u64 = 3;

/// The first pause after a failed call.
const FIRST_PAUSE: Millis = Millis(100);

/// Keeps a lease, and takes a new one when it was lost.
pub struct LeaseSession {
    store: Rc<dyn Store>,
    clock: OwnClock,
    ttl: Millis,
    lease: LeaseClock,
    ended: Cell<bool>,
    /// Raised when a lease is taken, renewed or lost.
    pub changed: Signal,
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
    /// A session without a lease yet.
    pub fn new(
        store: Rc<dyn Store>,
        clock: OwnClock,
        ttl: Millis,
    ) -> Self {
        Self {
            store,
            clock,
            ttl,
            lease: LeaseClock::default(),
            ended: Cell::new(false),
            changed: Signal::new(),
        }
    }

    /// The lease, while it is surely held.
    pub fn sure(&self) -> Option<LeaseId> {
        self.lease.sure(self.clock.now())
    }

    /// The newest lease, whether or not it is surely held.
    pub fn id(&self) -> Option<LeaseId> {
        self.lease.id()
    }

    /// Until when the lease is surely held; zero when there is none.
    pub fn until(&self) -> Millis {
        self.lease.until()
    }

    /// Takes and renews the lease until the session is ended.
    pub async fn run(&self) {
        let most = Millis(self.ttl.0 / RENEWALS);
        let mut backoff = Backoff::new(FIRST_PAUSE, most);
        while !self.ended.get() {
            let pause = match self.step().await {
                Ok(()) => {
                    backoff.reset();
                    most
                }
                Err(e) => {
                    Line::new("lease_call_failed").with("error", &e).warn();
                    backoff.next_delay()
                }
            };
            tokio::time::sleep(pause.to_std()).await;
        }
    }

    /// Gives the lease back, and with it all keys that hang on it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the store didn't confirm it; the lease then lapses by itself.
    pub async fn end(&self) -> Result<(), StoreError> {
        self.ended.set(true);
        let Some(id) = self.lease.id() else {
            return Ok(());
        };
        self.lease.lapse();
        self.changed.raise();
        self.store.revoke(id).await
    }

    async fn step(&self) -> Result<(), StoreError> {
        match self.lease.id() {
            None => self.take().await,
            Some(id) => self.renew(id).await,
        }
    }

    async fn take(&self) -> Result<(), StoreError> {
        let sent = self.clock.now();
        let lease = self.store.grant(self.ttl).await?;
        // Asked to end while the call was out: leave the lease to lapse.
        if !self.ended.get() {
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
            _ if self.ended.get() => {}
            Some(lease) => {
                self.lease.confirm(lease, sent);
                self.changed.raise();
            }
            None => {
                Line::new("lease_lost").with("lease", id).warn();
                self.lease.lapse();
                self.changed.raise();
                self.take().await?;
            }
        }
        Ok(())
    }
}
