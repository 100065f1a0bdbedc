use {super::VmRank, crate::clock::Millis, std::collections::BTreeMap};

/// VMs of the order that are tried before the store itself. Each that fails costs its followers up to a third of a
/// second, and a change has to be in force within two seconds.
const TRIED: usize = 3;
/// For how long a VM is passed over that wasn't reached or has lost the store: about what an outage of one VM's path lasts.
const FAILED: Millis = Millis(3_000);
/// For how long one is passed over that only doesn't serve yet.
const NOT_YET: Millis = Millis(800);
/// The same where nothing is known without it: it reads the store within half a second.
const BEGINS: Millis = Millis(150);
/// For how long the store is passed over after it failed, as long as another VM may reach it.
const STORE_FAILED: Millis = Millis(2_000);
/// The same for the VM that schedules where nobody has changes: until others read the store that followed this VM.
const STORE_AGAIN: Millis = Millis(600);

/// Whom to ask for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// Another VM.
    Vm(VmRank),
}

/// Why a VM gave no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum SourceFailure {
    /// It didn't answer.
    #[display("not reached")]
    Unreachable,
    /// The store hasn't answered it for too long.
    #[display("lost the store")]
    Stale,
    /// It follows another VM itself.
    #[display("follows another VM")]
    NotReading,
    /// It doesn't know what has changed since.
    #[display("knows no history")]
    HistoryGone,
}

/// The choice of one VM.
#[derive(Clone, Debug)]
pub struct SourceChoice {
    me: VmRank,
    failed_until: BTreeMap<VmRank, Millis>,
    store_failed_until: Millis,
}

impl SourceChoice {
    /// The choice of the VM `me`, to which nothing has failed yet.
    pub const fn new(me: VmRank) -> Self {
        Self {
            me,
            failed_until: BTreeMap::new(),
            store_failed_until: Millis::ZERO,
        }
    }

    /// Whom a VM asks now that doesn't schedule. `others` are the other VMs of the data centre.
    pub fn choose<I>(
        &self,
        others: I,
        now: Millis,
    ) -> Source
    where
        I: IntoIterator<Item = VmRank>,
    {
        let store_is_good = self.is_store_good(now);
        let mut order: Vec<VmRank> = others.into_iter().collect();
        order.push(self.me);
        order.sort_unstable();
        let serves = |&rank: &VmRank| match rank {
            me if me == self.me => store_is_good,
            other => self.is_vm_good(other, now),
        };
        match order.into_iter().take(TRIED).find(serves) {
            Some(rank) if rank != self.me => Source::Vm(rank),
            _ => Source::Store,
        }
    }

    /// Whether the store hasn't failed lately.
    pub fn is_store_good(
        &self,
        now: Millis,
    ) -> bool {
        now >= self.store_failed_until
    }

    /// Whom the VM that schedules asks now, by itself as long as the store is good; none where it should look again in a
    /// moment. `others` are the VMs that may have changes, the likeliest first.
    ///
    /// All that is decided depends on what this VM knows. After an outage of the store nobody has changes yet, so the store
    /// itself is asked again soon: passed over as by the others, a configuration was in force here seconds late.
    pub fn choose_scheduling<I>(
        &self,
        others: I,
        now: Millis,
    ) -> Option<Source>
    where
        I: IntoIterator<Item = VmRank>,
    {
        if self.is_store_good(now) {
            return Some(Source::Store);
        }
        let serves = others
            .into_iter()
            .find(|&rank| self.is_vm_good(rank, now))
            .map(Source::Vm);
        let failed_at = self.store_failed_until.since(STORE_FAILED);
        let is_due = now.since(failed_at) >= STORE_AGAIN;
        serves.or_else(|| is_due.then_some(Source::Store))
    }

    /// Notes that a VM gave no changes.
    pub fn vm_failed(
        &mut self,
        vm: VmRank,
        why: SourceFailure,
        now: Millis,
    ) {
        let pause = match why {
            SourceFailure::Unreachable | SourceFailure::Stale => FAILED,
            SourceFailure::NotReading | SourceFailure::HistoryGone => NOT_YET,
        };
        self.pass_over(vm, pause, now);
    }

    /// Notes that a VM doesn't serve yet that this one, which schedules, needs as soon as it does.
    pub fn vm_begins(
        &mut self,
        vm: VmRank,
        now: Millis,
    ) {
        self.pass_over(vm, BEGINS, now);
    }

    fn pass_over(
        &mut self,
        vm: VmRank,
        pause: Millis,
        now: Millis,
    ) {
        self.failed_until.retain(|_, until| now < *until);
        self.failed_until.insert(vm, now + pause);
    }

    fn is_vm_good(
        &self,
        vm: VmRank,
        now: Millis,
    ) -> bool {
        self.failed_until.get(&vm).is_none_or(|&at| now >= at)
    }

    /// Notes that the store didn't answer.
    pub fn store_failed(
        &mut self,
        now: Millis,
    ) {
        self.store_failed_until = now + STORE_FAILED;
    }

    /// Notes that the store answered.
    pub const fn store_answered(&mut self) {
        self.store_failed_until = Millis::ZERO;
    }
}
