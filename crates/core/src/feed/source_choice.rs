use {super::VmRank, crate::clock::Millis, std::collections::BTreeMap};

/// Number of VMs tried before the store; bounds the delay of a change if they fail.
///
/// Each that fails costs its followers up to a third of a second, and a change has to be in force
/// within 2 s.
const MAX_TRIED_VMS: usize = 3;
/// How long a VM is skipped after it was unreachable or had lost the store.
///
/// About as long as an outage of one VM's path lasts.
const VM_FAILED_DELAY: Millis = Millis(3_000);
/// How long a VM is skipped that does not serve changes yet.
const VM_NOT_SERVING_DELAY: Millis = Millis(800);
/// How long the scheduling VM skips a VM that is about to read the store.
///
/// It reads the store within half a second.
const VM_STARTING_DELAY: Millis = Millis(150);
/// How long the store is skipped after a failure.
const STORE_FAILED_DELAY: Millis = Millis(2_000);
/// Delay before the scheduling VM retries the store if no other VM has changes.
const STORE_RETRY_DELAY: Millis = Millis(600);

/// Where to read changes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another VM.
    Vm(VmRank),
}

/// Why a VM returned no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum SourceFailure {
    /// It did not respond.
    #[display("unreachable")]
    Unreachable,
    /// It has had no response from the store for too long.
    #[display("no recent response from the store")]
    Stale,
    /// It reads from another VM itself.
    #[display("reads from another VM")]
    NotReading,
    /// It does not have the changes since the requested revision.
    #[display("no history since the requested revision")]
    HistoryGone,
}

/// Chooses where one VM reads changes from.
#[derive(Clone, Debug)]
pub struct SourceChoice {
    me: VmRank,
    failed_until: BTreeMap<VmRank, Millis>,
    store_failed_until: Millis,
}

impl SourceChoice {
    /// Creates the choice of the VM `me`, without known failures.
    pub const fn new(me: VmRank) -> Self {
        Self {
            me,
            failed_until: BTreeMap::new(),
            store_failed_until: Millis::ZERO,
        }
    }

    /// The source for a VM that does not run the scheduler; `others` are the other VMs of its data centre.
    pub fn choose<I>(
        &self,
        others: I,
        now: Millis,
    ) -> Source
    where
        I: IntoIterator<Item = VmRank>,
    {
        let store_is_good = self.is_store_available(now);
        let mut order: Vec<VmRank> = others.into_iter().collect();
        order.push(self.me);
        order.sort_unstable();
        let serves = |&rank: &VmRank| match rank {
            me if me == self.me => store_is_good,
            other => self.is_vm_available(other, now),
        };
        match order.into_iter().take(MAX_TRIED_VMS).find(serves) {
            Some(rank) if rank != self.me => Source::Vm(rank),
            _ => Source::Store,
        }
    }

    /// Whether the store has not failed recently.
    pub fn is_store_available(
        &self,
        now: Millis,
    ) -> bool {
        now >= self.store_failed_until
    }

    /// The source for the VM that runs the scheduler; `None` if no source is available now.
    ///
    /// It reads the store directly unless the store has failed recently. `others` are the VMs that may have
    /// changes, the most likely first. If none of them serves, the store is retried early, so that
    /// configuration changes after an outage are not delayed.
    pub fn choose_for_scheduler<I>(
        &self,
        others: I,
        now: Millis,
    ) -> Option<Source>
    where
        I: IntoIterator<Item = VmRank>,
    {
        if self.is_store_available(now) {
            return Some(Source::Store);
        }
        let serves = others
            .into_iter()
            .find(|&rank| self.is_vm_available(rank, now))
            .map(Source::Vm);
        let failed_at = self.store_failed_until.since(STORE_FAILED_DELAY);
        let is_due = now.since(failed_at) >= STORE_RETRY_DELAY;
        serves.or_else(|| is_due.then_some(Source::Store))
    }

    /// Records that a VM returned no changes.
    pub fn vm_failed(
        &mut self,
        vm: VmRank,
        why: SourceFailure,
        now: Millis,
    ) {
        let delay = match why {
            SourceFailure::Unreachable | SourceFailure::Stale => VM_FAILED_DELAY,
            SourceFailure::NotReading | SourceFailure::HistoryGone => VM_NOT_SERVING_DELAY,
        };
        self.skip_for(vm, delay, now);
    }

    /// Records that a VM does not serve yet; the scheduling VM retries it soon.
    pub fn vm_starting(
        &mut self,
        vm: VmRank,
        now: Millis,
    ) {
        self.skip_for(vm, VM_STARTING_DELAY, now);
    }

    fn skip_for(
        &mut self,
        vm: VmRank,
        delay: Millis,
        now: Millis,
    ) {
        self.failed_until.retain(|_, until| now < *until);
        self.failed_until.insert(vm, now + delay);
    }

    fn is_vm_available(
        &self,
        vm: VmRank,
        now: Millis,
    ) -> bool {
        self.failed_until.get(&vm).is_none_or(|&at| now >= at)
    }

    /// Records that the store did not respond.
    pub fn store_failed(
        &mut self,
        now: Millis,
    ) {
        self.store_failed_until = now + STORE_FAILED_DELAY;
    }

    /// Records that the store responded.
    pub const fn store_responded(&mut self) {
        self.store_failed_until = Millis::ZERO;
    }
}
