use {
    super::StoreView,
    crate::{clock::Millis, ids::VmId},
    std::collections::{BTreeMap, BTreeSet},
};

/// For how long each VM has been without a lease and gone from the platform's list.
///
/// Time counts from read to read: a controller that can't read sees the same old view for as long as
/// it lasts, and that says nothing. Both must hold all the time: the list lags, so a VM that is not listed yet may be new, and a
/// lease lapses while its holder is merely paused.
#[derive(Clone, Debug, Default)]
pub struct VmWatch {
    gone_since: BTreeMap<VmId, Millis>,
}

impl VmWatch {
    /// Notes what was read about the VMs of members.
    pub fn note(
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

    /// Whether a VM has been gone for longer than the list lags.
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
