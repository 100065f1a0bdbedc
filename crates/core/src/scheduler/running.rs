use {
    super::{Job, Ticket, WaitReason, WaitTimes},
    crate::{
        clock::Millis,
        ids::{AdapterVersion, UpstreamId},
        rights::Charge,
    },
};

/// A request that runs already when a scheduler takes over, as its VM tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adopted {
    /// The request's attempt.
    pub ticket: Ticket,
    /// What it is.
    pub job: Job,
    /// Where it runs.
    pub upstream: UpstreamId,
    /// The adapter's version that it runs on, where that is known.
    pub version: Option<u32>,
    /// Whether its first event has been seen.
    pub has_begun: bool,
}

/// Where a request stands in the scheduler's book.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// In the queue.
    Waiting,
    /// Assigned.
    Running {
        upstream: UpstreamId,
        adapter: Option<AdapterVersion>,
    },
}

/// A request in the scheduler's book.
#[derive(Debug)]
pub(super) struct Entry {
    pub ticket: Ticket,
    pub job: Job,
    pub stage: Stage,
    /// Until when it has to be sent to be on time.
    pub timely_until: Millis,
    /// From when on it is worth looking at again, unless the epoch has changed.
    pub look_at: Millis,
    /// The epoch in which it was last looked at.
    pub look_epoch: u64,
    /// What it waits for, and since when.
    pub waits_for: WaitReason,
    pub waits_since: Millis,
    /// How long it has waited for what before.
    pub waited: WaitTimes,
    /// What was taken from its account's rate.
    pub charge: Option<Charge>,
    /// When it is forgotten even if its VM never says a word.
    pub forget_at: Millis,
}

impl Entry {
    /// Notes what it waits for from now on.
    pub(super) fn waits_for(
        &mut self,
        reason: WaitReason,
        now: Millis,
    ) {
        self.waited.add(self.waits_for, now.since(self.waits_since));
        self.waits_for = reason;
        self.waits_since = now;
    }

    /// What it has waited for longest by now.
    pub(super) fn waited_for(
        &mut self,
        now: Millis,
    ) -> WaitReason {
        self.waits_for(self.waits_for, now);
        self.waited.longest().0
    }
}
