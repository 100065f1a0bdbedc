//! Edits whose write may still be on its way to the store.

use {
    jasmine_conf::tree::{Edit, EditId, EditOp, NodeKind, Path, Settings},
    jasmine_controller::{
        clock::OwnClock,
        config::{ConfigKeeper, ConfigStore, EditDesk, EditRefusal},
    },
    jasmine_core::{clock::Millis, error::ErrorKind, ids::Revision},
    jasmine_store::store::{
        Lease, LeaseId, Range, RangeReply, Store, StoreError, StoreFuture, Txn, TxnReply,
        WatchStream,
    },
    std::{cell::Cell, rc::Rc},
};

/// A store without any key that loses the reply to the first write and takes no connection for the rest.
#[derive(Debug, Default)]
struct VanishingStore {
    writes: Cell<u32>,
}

impl Store for VanishingStore {
    fn range(
        &self,
        _: Range,
    ) -> StoreFuture<'_, RangeReply> {
        Box::pin(async { Ok(RangeReply::default()) })
    }

    fn txn(
        &self,
        _: Txn,
    ) -> StoreFuture<'_, TxnReply> {
        self.writes.set(self.writes.get() + 1);
        let error = match self.writes.get() {
            1 => StoreError::OutcomeUnknown("timeout".into()),
            _ => StoreError::Unreachable("connection refused".into()),
        };
        Box::pin(async { Err(error) })
    }

    fn grant(
        &self,
        _: Millis,
    ) -> StoreFuture<'_, Lease> {
        unreachable!("an edit takes no lease")
    }

    fn keep_alive(
        &self,
        _: LeaseId,
    ) -> StoreFuture<'_, Option<Lease>> {
        unreachable!("an edit takes no lease")
    }

    fn revoke(
        &self,
        _: LeaseId,
    ) -> StoreFuture<'_, ()> {
        unreachable!("an edit takes no lease")
    }

    fn watch(
        &self,
        _: Range,
        _: u64,
    ) -> StoreFuture<'_, WatchStream> {
        unreachable!("an edit watches nothing")
    }
}

async fn submit(store: VanishingStore) -> EditRefusal {
    let store: Rc<dyn Store> = Rc::new(store);
    let clock = OwnClock::start();
    let keeper = Rc::new(ConfigKeeper::new(clock));
    let reader = Rc::new(ConfigStore::new(
        Rc::clone(&store),
        clock,
        Rc::clone(&keeper),
    ));
    let desk = EditDesk::new(store, clock, keeper, reader);
    let op = EditOp::Create {
        path: Path::parse("/accounts/farm").unwrap(),
        kind: NodeKind::Account,
        settings: Settings::default(),
    };
    let edit = Edit {
        id: EditId::parse("first").unwrap(),
        author: "ana".to_owned(),
        base: Revision(0),
        ops: vec![op],
    };
    desk.submit(&edit).await.unwrap_err()
}

/// The first write is slow on its way and its reply does not come; the store then takes no connection.
/// An operator who is told that nothing was written makes another change, and the first one takes
/// effect behind their back.
#[actix_web::test]
async fn a_write_on_its_way_is_not_called_unwritten() {
    let refusal = submit(VanishingStore::default()).await;
    assert_eq!(refusal.kind(), ErrorKind::EditOutcomeUnknown, "{refusal}");
}

/// The store takes no connection at all: then nothing was written, and saying so lets the operator
/// do it again.
#[actix_web::test]
async fn a_write_that_never_left_is_called_unwritten() {
    let store = VanishingStore {
        writes: Cell::new(1),
    };
    let refusal = submit(store).await;
    assert_eq!(refusal.kind(), ErrorKind::StoreUnavailable, "{refusal}");
}
