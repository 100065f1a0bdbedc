use {
    super::{AttemptId, Job, WaitReason, WaitTimes},
    crate::{
        clock::Millis,
        ids::{AdapterVersion, UpstreamId},
        overload::QueuedWork,
        rights::Charge,
    },
};

/// A request that is already running when a scheduler takes over, as reported by its VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningRequest {
    /// Identifies the attempt on the forwarding VM.
    pub attempt_id: AttemptId,
    /// What the request asks for, with its limits.
    pub job: Job,
    /// Upstream to which the request is assigned.
    pub upstream: UpstreamId,
    /// The adapter version that it uses, if known.
    pub version: Option<u32>,
    /// Whether its first event has arrived.
    pub has_begun: bool,
}

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// In the queue.
    Waiting,
    /// Assigned to an upstream.
    Running {
        upstream: UpstreamId,
        adapter: Option<AdapterVersion>,
    },
}

/// A request known to the scheduler.
#[derive(Debug)]
pub(super) struct TrackedRequest {
    pub attempt_id: AttemptId,
    pub job: Job,
    pub stage: Stage,
    /// When it was assigned, or adopted from another scheduler; zero before.
    pub assigned_at: Millis,
    /// When it must be sent at the latest to meet its objective.
    pub latest_send_at: Millis,
    /// When to evaluate it again, unless the epoch has changed.
    pub evaluate_at: Millis,
    /// When it was last evaluated.
    pub evaluated_at: Millis,
    /// The epoch in which it was last evaluated.
    pub evaluation_epoch: u64,
    /// What it is waiting for, and since when.
    pub waits_for: WaitReason,
    pub waits_since: Millis,
    /// Earlier waiting times, by reason.
    pub waited: WaitTimes,
    /// What it adds to the load of its service while it is queued in a lane.
    pub queued_work: Option<QueuedWork>,
    /// Amount charged to the account's rate limit, if any.
    pub charge: Option<Charge>,
    /// Tokens reserved for it in the memory of its engine, if not its stated maximum.
    pub reserved_tokens: Option<u64>,
    /// Whether this scheduler knows when it was sent, so that its cost can be learned.
    pub is_cost_known: bool,
    /// When it is dropped if its VM never reports an outcome.
    pub forget_at: Millis,
}

impl TrackedRequest {
    /// Changes what the request is waiting for.
    pub(super) fn waits_for(
        &mut self,
        reason: WaitReason,
        now: Millis,
    ) {
        self.waited.add(self.waits_for, now.since(self.waits_since));
        self.waits_for = reason;
        self.waits_since = now;
    }

    /// How long it has waited.
    pub(super) fn waiting_age(
        &self,
        now: Millis,
    ) -> Millis {
        self.waited.total() + now.since(self.waits_since)
    }

    /// Whether it was evaluated a short time before, and nothing calls for another evaluation.
    pub(super) fn is_deferred(
        &self,
        epoch: u64,
        now: Millis,
    ) -> bool {
        now < self.evaluate_at && self.evaluation_epoch == epoch
    }

    /// Records an evaluation.
    pub(super) const fn note_evaluated(
        &mut self,
        epoch: u64,
        now: Millis,
    ) {
        self.evaluation_epoch = epoch;
        self.evaluated_at = now;
    }

    /// What the request has waited for longest.
    pub(super) fn waited_for(
        &mut self,
        now: Millis,
    ) -> WaitReason {
        self.waits_for(self.waits_for, now);
        self.waited.longest().0
    }
}
