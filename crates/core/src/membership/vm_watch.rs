use {
    super::StoreView,
    crate::{clock::Millis, ids::VmId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Tracks since when each VM has had no lease and been missing from the platform's list.
///
/// Time is measured between reads, since a controller that can't read sees the same stale view. Both
/// conditions must hold throughout: the list lags, so an unlisted VM may be new, and a lease also
/// lapses while its holder is paused.
#[derive(Clone, Debug, Default)]
pub struct VmWatch {
    gone_since: BTreeMap<VmId, Millis>,
}

impl VmWatch {
    /// Updates the state from a read; `members` are the VMs to track.
    pub fn update(
        &mut self,
        members: &BTreeSet<VmId>,
        view: &StoreView,
    ) {
        let Some(listed) = &view.listed else {
            self.gone_since.clear();
            return;
        };
        let live: BTreeSet<VmId> = view.live.iter().map(|live| live.vm).collect();
        let is_gone =
            |vm: &VmId| members.contains(vm) && !listed.contains(vm) && !live.contains(vm);
        self.gone_since.retain(|vm, _| is_gone(vm));
        for &vm in members.iter().filter(|vm| is_gone(vm)) {
            self.gone_since.entry(vm).or_insert(view.read_at);
        }
    }

    /// Whether a VM has been gone for at least `list_lag`.
    pub fn is_gone(
        &self,
        vm: VmId,
        list_lag: Millis,
        read_at: Millis,
    ) -> bool {
        self.gone_since
            .get(&vm)
            .is_some_and(|&since| read_at.since(since) >= list_lag)
    }
}
