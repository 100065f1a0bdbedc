use {
    super::{WaitReason, running::TrackedRequest},
    crate::{clock::Millis, ids::RequestId},
};

/// Requests remembered in a pass; bounds the additional evaluations per millisecond.
const MAX_SKIPPED: usize = 8;

/// Requests that a pass over the queue did not evaluate, as they were evaluated a short time before.
///
/// A less urgent request must not take an upstream that has become free for one of them: before it
/// is sent, they are evaluated.
#[derive(Debug, Default)]
pub(super) struct SkippedRequests {
    requests: Vec<RequestId>,
    /// Whether the pass ends, as they have to be evaluated first.
    pub must_go_first: bool,
}

impl SkippedRequests {
    /// Records a request that isn't evaluated now, if it waits for an engine to become free and was
    /// not evaluated in this millisecond.
    ///
    /// One that waits for its adapter can't use another engine. With those, the scheduler made 23
    /// evaluations a request in place of 5.
    pub(super) fn note(
        &mut self,
        request: RequestId,
        entry: &TrackedRequest,
        now: Millis,
    ) {
        let waits = matches!(entry.waits_for, WaitReason::Prefill | WaitReason::Memory);
        if waits && entry.evaluated_at < now && self.requests.len() < MAX_SKIPPED {
            self.requests.push(request);
        }
    }

    /// Whether there are any, so that the pass ends.
    pub(super) const fn go_first(&mut self) -> bool {
        self.must_go_first = !self.requests.is_empty();
        self.must_go_first
    }

    /// Those to evaluate before any other.
    pub(super) fn take_first(self) -> Vec<RequestId> {
        if self.must_go_first {
            self.requests
        } else {
            Vec::new()
        }
    }
}
