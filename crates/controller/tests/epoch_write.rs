//! Preconditions of the write of an epoch that excludes a VM.

use {
    jasmine_controller::{epochs::epoch_write, store_keys},
    jasmine_core::{
        clock::Millis,
        ids::{Epoch, Holder, Incarnation, Role, VmId},
        membership::{EPOCH_KEY, EpochRecord, StoreView, Versioned},
    },
    jasmine_store::{
        etcd::{EtcdOptions, EtcdStore},
        store::{Compare, Op, Store, Txn},
    },
    jasmine_testkit::platform,
    std::net::{Ipv4Addr, SocketAddr},
};

fn gateway(vm: u32) -> Holder {
    Holder {
        vm: VmId(vm),
        role: Role::Gateway,
        incarnation: Incarnation(1),
    }
}

fn record(
    epoch: u64,
    members: &[Holder],
) -> EpochRecord {
    EpochRecord {
        epoch: Epoch(epoch),
        members: members.to_vec(),
        closing: true,
        ..EpochRecord::default()
    }
}

async fn put(
    store: &EtcdStore,
    key: &str,
    value: Vec<u8>,
) -> u64 {
    let txn = Txn {
        compare: Vec::new(),
        success: vec![Op::put(key, value)],
        failure: Vec::new(),
    };
    store.txn(txn).await.unwrap().revision
}

/// Guards against excluding a VM that has registered again unseen by a stale watch: its rights would be
/// granted twice and an account would exceed its rate.
#[actix_web::test]
async fn reregistered_vm_is_not_excluded() {
    let platform = platform::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let store = EtcdStore::new(EtcdOptions::new(vec![format!(
        "http://{}",
        platform.address()
    )]));
    let old = record(1, &[gateway(1), gateway(2)]);
    let mod_revision = put(&store, EPOCH_KEY, serde_json::to_vec(&old).unwrap()).await;
    let view = StoreView {
        read_at: Millis::ZERO,
        live: Vec::new(),
        listed: None,
        epoch: Some(Versioned {
            value: old,
            mod_revision,
        }),
        holdings: Vec::new(),
        released: Vec::new(),
        budgets: Vec::new(),
    };
    let next = record(2, &[gateway(1)]);
    let write = epoch_write(&view, Some(mod_revision), &next);

    put(&store, &store_keys::member(VmId(2)), b"{}".to_vec()).await;
    assert!(!store.txn(write.clone()).await.unwrap().succeeded);

    let gone = Txn {
        compare: vec![Compare::Exists(EPOCH_KEY.into())],
        success: vec![Op::Delete(jasmine_store::store::Range::key(
            store_keys::member(VmId(2)),
        ))],
        failure: Vec::new(),
    };
    store.txn(gone).await.unwrap();
    assert!(store.txn(write).await.unwrap().succeeded);
}
