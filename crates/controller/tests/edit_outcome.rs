//! Errors of edits whose write may still be in flight to the store.

use {
    jasmine_conf::tree::{Edit, EditId, EditOp, NodeKind, Path, Settings},
    jasmine_controller::{
        clock::MonotonicClock,
        config::{ConfigReader, ConfigState, EditSubmitError, EditWriter},
    },
    jasmine_core::{clock::Millis, error::ErrorKind, ids::Revision},
    jasmine_store::store::{
        Lease, LeaseId, Range, RangeReply, Store, StoreError, StoreFuture, Txn, TxnReply,
        WatchStream,
    },
    std::{cell::Cell, rc::Rc},
};

/// An empty store that drops the reply to the first write and refuses connections for later writes.
#[derive(Debug, Default)]
struct FlakyStore {
    writes: Cell<u32>,
}

impl Store for FlakyStore {
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

async fn submit(store: FlakyStore) -> EditSubmitError {
    let store: Rc<dyn Store> = Rc::new(store);
    let clock = MonotonicClock::start();
    let state = Rc::new(ConfigState::new(clock));
    let reader = Rc::new(ConfigReader::new(
        Rc::clone(&store),
        clock,
        Rc::clone(&state),
    ));
    let writer = EditWriter::new(store, clock, state, reader);
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
    writer.submit(&edit).await.unwrap_err()
}

/// Guards against reporting a write as not executed while an earlier attempt may still take effect.
#[actix_web::test]
async fn write_in_flight_is_reported_as_outcome_unknown() {
    let error = submit(FlakyStore::default()).await;
    assert_eq!(error.kind(), ErrorKind::EditOutcomeUnknown, "{error}");
}

/// Guards against an unknown outcome being reported when no write reached the store.
#[actix_web::test]
async fn unsent_write_is_reported_as_not_executed() {
    let store = FlakyStore {
        writes: Cell::new(1),
    };
    let error = submit(store).await;
    assert_eq!(error.kind(), ErrorKind::StoreUnavailable, "{error}");
}
