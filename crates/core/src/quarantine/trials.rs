use {
    crate::{
        clock::Millis,
        ids::{PartId, RequestId, UpstreamId},
    },
    std::collections::HashMap,
};

/// After this time a trial of a part that hasn't ended has shown enough; a request may end its upstream at any time.
const MAX_TRIAL_TIME: Millis = Millis(1_000);

#[derive(Clone, Copy, Debug)]
struct Trial {
    request: RequestId,
    upstream: UpstreamId,
    since: Millis,
    /// Whether no other suspected request may go to the upstream meanwhile.
    is_exclusive: bool,
}

/// Requests under way that show whether a part of their prompts crashes upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct Trials {
    by_part: HashMap<PartId, Trial>,
}

impl Trials {
    pub(super) fn is_pending(
        &self,
        part: PartId,
        now: Millis,
    ) -> bool {
        let trial = self.by_part.get(&part);
        trial.is_some_and(|trial| part.is_request() || now.since(trial.since) < MAX_TRIAL_TIME)
    }

    pub(super) fn begin(
        &mut self,
        part: PartId,
        request: RequestId,
        upstream: UpstreamId,
        is_exclusive: bool,
        now: Millis,
    ) {
        let trial = Trial {
            request,
            upstream,
            since: now,
            is_exclusive,
        };
        self.by_part.insert(part, trial);
    }

    /// The upstreams that have a prompt on trial which hasn't shown enough yet.
    pub(super) fn upstreams(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = UpstreamId> {
        let trials = self.by_part.iter();
        let pending =
            trials.filter(move |&(&part, _)| !part.is_request() && self.is_pending(part, now));
        pending.map(|(_, trial)| trial.upstream)
    }

    /// The upstreams that have a suspected request.
    pub(super) fn exclusive_upstreams(&self) -> Vec<UpstreamId> {
        let exclusive = self.by_part.values().filter(|trial| trial.is_exclusive);
        exclusive.map(|trial| trial.upstream).collect()
    }

    pub(super) fn end(
        &mut self,
        request: RequestId,
    ) {
        self.by_part.retain(|_, trial| trial.request != request);
    }
}
