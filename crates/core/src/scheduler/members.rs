use {crate::clock::Millis, std::collections::BTreeMap};

/// The VMs that callers may use, and those that they could use until lately, by hashes of their names.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    /// Since when the list is known: a VM that left before is on none.
    listed_since: Option<Millis>,
    /// When each VM left; `None` if it hasn't.
    left_at: BTreeMap<u64, Option<Millis>>,
}

impl Members {
    /// Replaces the list of VMs; those that leave are kept for a time.
    pub(super) fn set(
        &mut self,
        vms: &[u64],
        kept: Millis,
        now: Millis,
    ) {
        self.listed_since.get_or_insert(now);
        self.left_at
            .retain(|_, left_at| left_at.is_none_or(|at| now.since(at) < kept));
        for left_at in self.left_at.values_mut() {
            left_at.get_or_insert(now);
        }
        self.left_at.extend(vms.iter().map(|&vm| (vm, None)));
    }

    /// Since when the list is known.
    pub(super) const fn listed_since(&self) -> Option<Millis> {
        self.listed_since
    }

    /// The VMs, with the time at which each left; `None` if it hasn't.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, Option<Millis>)> {
        self.left_at.iter().map(|(&vm, &left_at)| (vm, left_at))
    }

    /// How many VMs there were at some time in the last `window`.
    pub(super) fn count(
        &self,
        window: Millis,
        now: Millis,
    ) -> usize {
        let is_recent = |left_at: Option<Millis>| left_at.is_none_or(|at| now.since(at) < window);
        self.iter()
            .filter(|&(_, left_at)| is_recent(left_at))
            .count()
    }
}
