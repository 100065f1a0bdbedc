use {
    super::engine_copy::EngineCopy,
    crate::{
        clock::Millis,
        ids::{AccountId, Holder, VmId},
    },
    std::collections::BTreeSet,
};

/// An acquire request whose reply waits for the load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) from: Holder,
    /// Id of the acquire request.
    pub(super) ask: u64,
    pub(super) account: AccountId,
    pub(super) since: Millis,
    pub(super) until: Millis,
}

/// Progress of a requested load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadStage {
    /// Waits for the weight store's rate limit.
    Queued,
    /// May read the weights; waits for a free slot on the engine.
    NeedsSlot,
    /// The engine was told to load it; no result yet.
    Loading,
}

/// An adapter version that gateways have requested on an engine.
#[derive(Clone, Debug)]
pub(super) struct PendingLoad {
    pub(super) stage: LoadStage,
    /// When it was first requested.
    pub(super) since: Millis,
    /// When it was last requested.
    pub(super) last_requested: Millis,
    /// The client account of the last request.
    pub(super) account: AccountId,
    pub(super) waiters: Vec<Waiter>,
    /// VMs whose gateway has requested it.
    pub(super) requesters: BTreeSet<VmId>,
}

impl PendingLoad {
    pub(super) fn new(
        account: AccountId,
        now: Millis,
    ) -> Self {
        Self {
            stage: LoadStage::Queued,
            since: now,
            last_requested: now,
            account,
            waiters: Vec::new(),
            requesters: BTreeSet::new(),
        }
    }

    /// Adds a waiting request unless it is already present.
    pub(super) fn add_waiter(
        &mut self,
        waiter: Waiter,
    ) {
        self.last_requested = self.last_requested.max(waiter.since);
        self.account = waiter.account;
        if !self
            .waiters
            .iter()
            .any(|other| other.from == waiter.from && other.ask == waiter.ask)
        {
            self.waiters.push(waiter);
        }
    }

    /// Grants `copy` to all waiting requests, and removes and returns them.
    pub(super) fn grant_all(
        &mut self,
        copy: &mut EngineCopy,
    ) -> Vec<Waiter> {
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in &waiters {
            let ask = copy.grants.entry(waiter.from).or_default();
            *ask = waiter.ask.max(*ask);
        }
        copy.account = Some(self.account);
        waiters
    }
}
