use {
    crate::store_keys,
    jasmine_core::{
        ids::VmId,
        membership::{EPOCH_KEY, EpochRecord, StoreView},
    },
    jasmine_store::store::{Compare, Op, Txn},
    std::collections::BTreeSet,
};

/// The transaction that writes an epoch's record, if the store still bears out what it rests on.
///
/// What this controller has seen of the members may be old: a watch can be silent for many seconds
/// before that is noticed. A member that has renewed its lease meanwhile would be left out although it
/// lives, and its rights would be granted a second time. So the store itself compares: the record that
/// was read is the newest, and each VM that is left out without a last word or a later run has no
/// member record now.
pub fn epoch_write(
    view: &StoreView,
    compare: Option<u64>,
    record: &EpochRecord,
) -> Txn {
    let unchanged = match compare {
        None => Compare::Absent(EPOCH_KEY.into()),
        Some(revision) => Compare::ModRevision(EPOCH_KEY.into(), revision),
    };
    let gone = left_out_as_gone(view, record)
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

fn left_out_as_gone(
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
