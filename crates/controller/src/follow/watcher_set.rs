use {
    crate::fleet::MemberRecord,
    jasmine_core::{ids::VmId, placement::rendezvous_score},
};

/// Number of controllers per data centre that watch the store.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Controllers that watch the store in one data centre.
///
/// Watches count against the platform's rate limit, which grows more slowly than the fleet. So only a
/// few VMs of each data centre watch, and the others poll these.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatcherSet {
    watchers: Vec<VmId>,
}

impl WatcherSet {
    /// Selects the watchers of `data_centre` from `members` by rendezvous hashing.
    pub fn select<'a>(
        data_centre: &str,
        members: impl IntoIterator<Item = &'a MemberRecord>,
    ) -> Self {
        let mut ranked: Vec<(f64, VmId)> = members
            .into_iter()
            .filter(|member| member.data_centre == data_centre && !member.leaving)
            .map(|member| (rendezvous_score(0, u64::from(member.vm.0), 1), member.vm))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        ranked.truncate(WATCHERS_PER_DATA_CENTRE);
        Self {
            watchers: ranked.into_iter().map(|(_, vm)| vm).collect(),
        }
    }

    /// Whether `vm` has to watch: it was selected, or no watcher is known.
    pub fn is_watcher(
        &self,
        vm: VmId,
    ) -> bool {
        self.watchers.is_empty() || self.watchers.contains(&vm)
    }

    /// Watchers that `vm` polls, in order of preference.
    ///
    /// The order is rotated by VM number to balance the load between watchers.
    pub fn poll_order(
        &self,
        vm: VmId,
    ) -> Vec<VmId> {
        let mut order: Vec<_> = self
            .watchers
            .iter()
            .copied()
            .filter(|&watcher| watcher != vm)
            .collect();
        if !order.is_empty() {
            let turn = vm.0 as usize % order.len();
            order.rotate_left(turn);
        }
        order
    }
}
