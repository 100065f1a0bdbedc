use {
    super::{DaemonRecord, MemberRecord},
    crate::store_keys,
    jasmine_store::store::{Compare, LeaseId, Op, Range, Store, StoreError, Txn},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// How writing this VM's record ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registered {
    /// The record is in the store, under the lease named.
    Yes,
    /// It was written by somebody else at the same moment; try again.
    Raced,
    /// A later run of this VM's controller has registered: this one has to stop.
    Superseded,
}

/// This VM's own record, and whether the store has it as it is now.
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
    /// A record that is not in the store yet.
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

    /// The record as it is now.
    pub fn record(&self) -> MemberRecord {
        self.record.borrow().clone()
    }

    /// Notes which gateway runs on this VM; an older run than the known one is not heard.
    pub fn set_gateway(
        &self,
        gateway: DaemonRecord,
    ) -> bool {
        let known = self.record.borrow().gateway;
        let is_news = match known {
            None => true,
            Some(known) => known != gateway && known.incarnation <= gateway.incarnation,
        };
        if is_news {
            self.record.borrow_mut().gateway = Some(gateway);
            self.version.set(self.version.get() + 1);
        }
        is_news
    }

    /// Notes that this VM is about to stop.
    pub fn set_leaving(&self) {
        self.record.borrow_mut().leaving = true;
        self.version.set(self.version.get() + 1);
    }

    /// Whether the store lacks the record as it is now under this lease.
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
    /// [`StoreError`] where the store didn't confirm it; writing again does no harm.
    pub async fn write(
        &self,
        lease: LeaseId,
    ) -> Result<Registered, StoreError> {
        let record = self.record();
        let version = self.version.get();
        let key = store_keys::member(record.vm);
        let found = self.store.range(Range::key(&key)).await?;
        let known = found.kvs.first();
        let known_run = known
            .and_then(|kv| serde_json::from_slice::<MemberRecord>(&kv.value).ok())
            .map(|known| known.controller.incarnation);
        if known_run > Some(record.controller.incarnation) {
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
            return Ok(Registered::Raced);
        }
        self.written.set(Some((lease, version)));
        Ok(Registered::Yes)
    }
}
