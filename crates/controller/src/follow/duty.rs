use {
    crate::fleet::MemberRecord,
    jasmine_core::{ids::VmId, placement::rendezvous_score},
};

/// Controllers of one data centre that watch the store themselves.
pub const WATCHERS: usize = 2;

/// Who watches the store in one data centre.
///
/// A watch counts as a call at the platform, whose rates grow more slowly than the fleet. So only a
/// few VMs of each data centre watch, and the others ask these.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Duty {
    watchers: Vec<VmId>,
}

impl Duty {
    /// The watchers among `members` in `data_centre`, first choice first.
    pub fn among<'a>(
        data_centre: &str,
        members: impl IntoIterator<Item = &'a MemberRecord>,
    ) -> Self {
        let mut ranked: Vec<(f64, VmId)> = members
            .into_iter()
            .filter(|member| member.data_centre == data_centre && !member.leaving)
            .map(|member| (rendezvous_score(0, u64::from(member.vm.0), 1), member.vm))
            .collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        ranked.truncate(WATCHERS);
        Self {
            watchers: ranked.into_iter().map(|(_, vm)| vm).collect(),
        }
    }

    /// Whether `vm` has to watch: as one of the chosen, or because nobody is.
    pub fn is_watcher(
        &self,
        vm: VmId,
    ) -> bool {
        self.watchers.is_empty() || self.watchers.contains(&vm)
    }

    /// The watchers that `vm` may ask, first choice first.
    ///
    /// Half of the others begin with the second, so that both carry the same.
    pub fn ask_order(
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
