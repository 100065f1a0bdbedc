use {
    super::{WaitReason, fleet::Fleet, running::TrackedRequest},
    crate::{
        clock::Millis,
        ids::{AdapterId, AdapterVersion, RequestId, UpstreamId},
    },
};

/// Requests remembered in a pass; bounds the additional evaluations per millisecond.
const MAX_SKIPPED: usize = 16;

/// Requests that a pass over the queue did not evaluate, as they were evaluated a short time before.
///
/// A less urgent request must not take an upstream that has become free for one of them: before it
/// is sent, they are evaluated.
#[derive(Debug, Default)]
pub(super) struct SkippedRequests {
    requests: Vec<(RequestId, Option<AdapterId>)>,
    /// Whether the pass ends, as they have to be evaluated first.
    pub must_go_first: bool,
}

impl SkippedRequests {
    /// Records a request that isn't evaluated now, if it waits for an engine to become free and was
    /// not evaluated in this millisecond.
    ///
    /// One that waits for its adapter can't use another engine.
    pub(super) fn note(
        &mut self,
        request: RequestId,
        entry: &TrackedRequest,
        now: Millis,
    ) {
        let waits = matches!(entry.waits_for, WaitReason::Prefill | WaitReason::Memory);
        if waits && entry.evaluated_at < now && self.requests.len() < MAX_SKIPPED {
            self.requests.push((request, entry.job.adapter()));
        }
    }

    /// Whether any of them could use the engine to which a later request is about to be sent, so that
    /// the pass ends.
    ///
    /// Without a look at the adapters, 1,500 requests a second on 140 engines took 20 evaluations each
    /// in place of 5.
    pub(super) fn go_first(
        &mut self,
        fleet: &Fleet,
        sent: Option<(UpstreamId, Option<AdapterVersion>)>,
    ) -> bool {
        let Some(engine) = sent.and_then(|(upstream, _)| fleet.engine(upstream)) else {
            return false;
        };
        let may_use =
            |adapter: Option<AdapterId>| adapter.is_none_or(|id| engine.has_any_version(id));
        self.must_go_first = self.requests.iter().any(|&(_, adapter)| may_use(adapter));
        if self.must_go_first {
            self.requests.retain(|&(_, adapter)| may_use(adapter));
        }
        self.must_go_first
    }

    /// Those to evaluate before any other.
    pub(super) fn take_first(self) -> Vec<RequestId> {
        if !self.must_go_first {
            return Vec::new();
        }
        let requests = self.requests.into_iter();
        requests.map(|(request, _)| request).collect()
    }
}
