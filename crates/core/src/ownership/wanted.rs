use {
    super::engine_copy::EngineCopy,
    crate::{
        clock::Millis,
        ids::{AccountId, Holder, VmId},
    },
    std::collections::BTreeSet,
};

/// A gateway whose question is held back.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiter {
    pub(super) from: Holder,
    pub(super) ask: u64,
    pub(super) account: AccountId,
    pub(super) since: Millis,
    pub(super) until: Millis,
}

/// How far the load of a wanted adapter has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for its turn.
    Queued,
    /// It has its budget and waits for a slot.
    NeedsSlot,
    /// The load has been ordered.
    Loading,
}

/// An adapter version that somebody wants on an engine.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    pub(super) stage: Stage,
    /// Since when it has been wanted without a break.
    pub(super) since: Millis,
    /// When somebody last asked.
    pub(super) asked: Millis,
    /// For which client account somebody last asked.
    pub(super) account: AccountId,
    pub(super) waiters: Vec<Waiter>,
    /// The gateways that have asked since it has been wanted.
    pub(super) askers: BTreeSet<VmId>,
}

impl Wanted {
    pub(super) fn new(
        account: AccountId,
        now: Millis,
    ) -> Self {
        Self {
            stage: Stage::Queued,
            since: now,
            asked: now,
            account,
            waiters: Vec::new(),
            askers: BTreeSet::new(),
        }
    }

    /// Adds a question; one that is already waiting stays as it is.
    pub(super) fn join(
        &mut self,
        waiter: Waiter,
    ) {
        self.asked = self.asked.max(waiter.since);
        self.account = waiter.account;
        if !self
            .waiters
            .iter()
            .any(|other| other.from == waiter.from && other.ask == waiter.ask)
        {
            self.waiters.push(waiter);
        }
    }

    /// Grants `copy` to everybody who waits, and empties the list.
    pub(super) fn grant(
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
