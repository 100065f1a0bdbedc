use crate::{ids::AdapterId, placement::rendezvous_hash, scheduler::upstream::Upstream};

/// Of many engines, so many are looked at besides those that have the adapter: enough that one of them has an idle place.
const PREFERRED: usize = 12;

/// The engines that an adapter prefers by rendezvous hashing, picked without ordering all of them.
pub(super) struct Preferred<'a> {
    adapter: AdapterId,
    /// The best so far, the best first.
    best: Vec<(u64, &'a Upstream)>,
}

impl<'a> Preferred<'a> {
    pub(super) fn new(adapter: AdapterId) -> Self {
        Self {
            adapter,
            best: Vec::with_capacity(PREFERRED + 1),
        }
    }

    pub(super) fn consider(
        &mut self,
        up: &'a Upstream,
    ) {
        let score = rendezvous_hash(u64::from(self.adapter.0), u64::from(up.id.0));
        let is_full = self.best.len() == PREFERRED;
        if is_full && self.best.last().is_some_and(|&(worst, _)| score <= worst) {
            return;
        }
        let at = self.best.partition_point(|&(other, _)| other > score);
        self.best.insert(at, (score, up));
        self.best.truncate(PREFERRED);
    }

    pub(super) fn engines(self) -> impl Iterator<Item = &'a Upstream> {
        self.best.into_iter().map(|(_, up)| up)
    }
}
