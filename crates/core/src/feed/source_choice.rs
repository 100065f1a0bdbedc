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

    /// Whom to ask now. `others` are the other VMs of the data centre; `reads_itself` says that this VM
    /// needs what is newest, as the one that schedules does.
    pub fn choose<I>(
        &self,
        others: I,
        reads_itself: bool,
        now: Millis,
    ) -> Source
    where
        I: IntoIterator<Item = VmRank>,
    {
        let store_is_good = self.is_store_good(now);
        if reads_itself && store_is_good {
            return Source::Store;
        }
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

    /// The first of other VMs that hasn't failed lately; the store where all have.
    pub fn choose_other<I>(
        &self,
        others: I,
        now: Millis,
    ) -> Source
    where
        I: IntoIterator<Item = VmRank>,
    {
        others
            .into_iter()
            .find(|&rank| self.is_vm_good(rank, now))
            .map_or(Source::Store, Source::Vm)
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
