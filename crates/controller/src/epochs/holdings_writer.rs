use {
    jasmine_core::{
        ids::{Epoch, Holder},
        membership::{HoldingsRecord, ReleasedRecord, holdings_key, released_key},
        rights::Right,
    },
    jasmine_store::store::{Compare, Op, Store, StoreError, Txn},
    serde::Serialize,
    std::rc::Rc,
};

/// Writes the rights reported by holders to the store.
pub struct HoldingsWriter {
    store: Rc<dyn Store>,
}

impl std::fmt::Debug for HoldingsWriter {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("HoldingsDesk").finish_non_exhaustive()
    }
}

impl HoldingsWriter {
    /// Creates a writer to `store`.
    pub const fn new(store: Rc<dyn Store>) -> Self {
        Self { store }
    }

    /// Writes the rights that a holder had when it entered an epoch.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store didn't confirm the write, which can be repeated safely.
    pub async fn report(
        &self,
        epoch: Epoch,
        holder: Holder,
        rights: Vec<Right>,
    ) -> Result<(), StoreError> {
        let record = HoldingsRecord {
            epoch,
            holder,
            rights,
        };
        self.create_record(holdings_key(epoch, holder), &record)
            .await
    }

    /// Writes the rights released by a holder that has stopped.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store didn't confirm the write, which can be repeated safely.
    pub async fn release(
        &self,
        holder: Holder,
        rights: Vec<Right>,
    ) -> Result<(), StoreError> {
        let record = ReleasedRecord { holder, rights };
        self.create_record(released_key(holder), &record).await
    }

    /// Creates a record unless it exists; an existing one is the same record from an earlier attempt.
    async fn create_record<T>(
        &self,
        key: String,
        record: &T,
    ) -> Result<(), StoreError>
    where
        T: Serialize,
    {
        let value = serde_json::to_vec(record).unwrap_or_default();
        let txn = Txn {
            compare: vec![Compare::Absent(key.clone())],
            success: vec![Op::put(key, value)],
            failure: Vec::new(),
        };
        self.store.txn(txn).await.map(drop)
    }
}
