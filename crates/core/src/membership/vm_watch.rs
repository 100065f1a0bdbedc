use {
    super::StoreView,
    crate::{clock::Millis, ids::VmId},
    std::collections::{BTreeMap, BTreeSet},
};

/// For how long each VM has been without a lease and gone from the platform's list.
///
/// Both must hold all the time: the list lags, so a VM that is not listed yet may be new, and a
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
        now: Millis,
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
            self.gone_since.entry(vm).or_insert(now);
        }
    }

    /// Whether a VM has been gone for longer than the list lags.
    pub fn is_gone(
        &self,
        vm: VmId,
        list_lag: Millis,
        now: Millis,
    ) -> bool {
        self.gone_since
            .get(&vm)
            .is_some_and(|&since| now.since(since) >= list_lag)
    }
}
