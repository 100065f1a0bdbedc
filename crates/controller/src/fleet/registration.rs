use {
    super::{DaemonRecord, MemberRecord},
    crate::store_keys,
    jasmine_store::store::{Compare, LeaseId, Op, Range, Store, StoreError, Txn},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// The result of writing this VM's member record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registered {
    /// The record was written under the given lease.
    Written,
    /// The record changed concurrently; the write should be retried.
    Conflicted,
    /// A later run of this VM's controller has registered, so this one must stop.
    Superseded,
}

/// This VM's member record and the version last written to the store.
pub struct Registration {
    store: Rc<dyn Store>,
    record: RefCell<MemberRecord>,
    version: Cell<u64>,
    written: Cell<Option<(LeaseId, u64)>>,
}

impl std::fmt::Debug for Registration {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("Registration")
            .field("record", &self.record)
            .finish_non_exhaustive()
    }
}

impl Registration {
    /// Creates a registration whose record has not been written.
    pub fn new(
        store: Rc<dyn Store>,
        record: MemberRecord,
    ) -> Self {
        Self {
            store,
            record: RefCell::new(record),
            version: Cell::new(1),
            written: Cell::new(None),
        }
    }

    /// Returns the current record.
    pub fn record(&self) -> MemberRecord {
        self.record.borrow().clone()
    }

    /// Sets the gateway of this VM and returns whether it changed; ignores older runs.
    pub fn set_gateway(
        &self,
        gateway: DaemonRecord,
    ) -> bool {
        let known = self.record.borrow().gateway;
        let is_changed = match known {
            None => true,
            Some(known) => known != gateway && known.incarnation <= gateway.incarnation,
        };
        if is_changed {
            self.record.borrow_mut().gateway = Some(gateway);
            self.version.set(self.version.get() + 1);
        }
        is_changed
    }

    /// Marks this VM as shutting down.
    pub fn set_leaving(&self) {
        self.record.borrow_mut().leaving = true;
        self.version.set(self.version.get() + 1);
    }

    /// Whether the current record has not yet been written under this lease.
    pub fn is_due(
        &self,
        lease: LeaseId,
    ) -> bool {
        self.written.get() != Some((lease, self.version.get()))
    }

    /// Writes the record under `lease`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store didn't confirm the write, which can be repeated safely.
    pub async fn write(
        &self,
        lease: LeaseId,
    ) -> Result<Registered, StoreError> {
        let record = self.record();
        let version = self.version.get();
        let key = store_keys::member(record.vm);
        let found = self.store.range(Range::key(&key)).await?;
        let known = found.kvs.first();
        let known_incarnation = known
            .and_then(|kv| serde_json::from_slice::<MemberRecord>(&kv.value).ok())
            .map(|known| known.controller.incarnation);
        if known_incarnation > Some(record.controller.incarnation) {
            return Ok(Registered::Superseded);
        }
        let compare = match known {
            None => Compare::Absent(key.clone()),
            Some(kv) => Compare::ModRevision(key.clone(), kv.mod_revision),
        };
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let reply = self
            .store
            .txn(Txn {
                compare: vec![compare],
                success: vec![Op::put_leased(key, value, lease)],
                failure: Vec::new(),
            })
            .await?;
        if !reply.succeeded {
            return Ok(Registered::Conflicted);
        }
        self.written.set(Some((lease, version)));
        Ok(Registered::Written)
    }
}
