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

/// Writes what holders report into the store.
pub struct HoldingsDesk {
    store: Rc<dyn Store>,
}

impl std::fmt::Debug for HoldingsDesk {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("HoldingsDesk").finish_non_exhaustive()
    }
}

impl HoldingsDesk {
    /// A desk that writes into `store`.
    pub const fn new(store: Rc<dyn Store>) -> Self {
        Self { store }
    }

    /// Writes what a holder had when it entered an epoch.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the store didn't confirm it; reporting again does no harm.
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
        self.create(holdings_key(epoch, holder), &record).await
    }

    /// Writes the last word of a holder that has stopped.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the store didn't confirm it; saying it again does no harm.
    pub async fn release(
        &self,
        holder: Holder,
        rights: Vec<Right>,
    ) -> Result<(), StoreError> {
        let record = ReleasedRecord { holder, rights };
        self.create(released_key(holder), &record).await
    }

    /// Creates a record once; one that is there already is the same, from a call whose reply was lost.
    async fn create<T>(
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
