use {
    crate::store_keys,
    jasmine_core::{
        ids::VmId,
        membership::{EPOCH_KEY, EpochRecord, StoreView},
    },
    jasmine_store::store::{Compare, Op, Txn},
    std::collections::BTreeSet,
};

/// Returns the transaction that writes an epoch record if its preconditions still hold.
///
/// This controller's view may be stale, as a watch can be silent for many seconds before that is
/// noticed. Excluding a VM that has registered again would grant its rights twice. The store therefore
/// checks that the epoch record is unchanged and that each VM excluded without a release record or a
/// later run has no member record.
pub fn epoch_write(
    view: &StoreView,
    compare: Option<u64>,
    record: &EpochRecord,
) -> Txn {
    let unchanged = match compare {
        None => Compare::Absent(EPOCH_KEY.into()),
        Some(revision) => Compare::ModRevision(EPOCH_KEY.into(), revision),
    };
    let gone = excluded_as_gone(view, record)
        .into_iter()
        .map(|vm| Compare::Absent(store_keys::member(vm)));
    Txn {
        compare: [unchanged].into_iter().chain(gone).collect(),
        success: vec![Op::put(
            EPOCH_KEY,
            serde_json::to_vec(record).unwrap_or_default(),
        )],
        failure: Vec::new(),
    }
}

fn excluded_as_gone(
    view: &StoreView,
    record: &EpochRecord,
) -> BTreeSet<VmId> {
    let members = view.epoch.iter().flat_map(|epoch| &epoch.value.members);
    members
        .filter(|&&member| !record.is_member(member))
        .filter(|&&member| view.released.iter().all(|last| last.holder != member))
        .map(|member| member.vm)
        .filter(|&vm| view.live.iter().all(|live| live.vm != vm))
        .collect()
}
