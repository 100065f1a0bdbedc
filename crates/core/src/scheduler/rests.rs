use {crate::clock::Millis, std::collections::BTreeMap};

/// Until when one upstream wants no requests from VMs that it has turned away.
#[derive(Clone, Debug)]
pub(super) struct Rests {
    /// The end of each rest, by the number of the VM.
    until: BTreeMap<u32, Millis>,
}

impl Rests {
    /// No rests.
    pub(super) const fn new() -> Self {
        Self {
            until: BTreeMap::new(),
        }
    }

    /// Records a rest; the longer one counts where two overlap.
    pub(super) fn note(
        &mut self,
        vm: u32,
        rest: Millis,
        now: Millis,
    ) {
        self.until.retain(|_, until| now < *until);
        let until = self.until.entry(vm).or_default();
        *until = (*until).max(now + rest);
    }

    /// How much longer the upstream wants no requests from a VM.
    pub(super) fn left(
        &self,
        vm: u32,
        now: Millis,
    ) -> Millis {
        let until = self.until.get(&vm).copied();
        until.unwrap_or_default().since(now)
    }

    /// When the last rest ends.
    pub(super) fn last_end(&self) -> Millis {
        self.until.values().copied().max().unwrap_or_default()
    }
}
