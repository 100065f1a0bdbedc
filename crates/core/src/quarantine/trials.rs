use {
    crate::{
        clock::Millis,
        ids::{PartId, RequestId},
    },
    std::collections::HashMap,
};

/// After this time a trial that hasn't ended has shown enough.
const MAX_TRIAL_TIME: Millis = Millis(1_000);

/// Requests under way that show whether a part of their prompts crashes upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct Trials {
    by_part: HashMap<PartId, (RequestId, Millis)>,
}

impl Trials {
    pub(super) fn is_pending(
        &self,
        part: PartId,
        now: Millis,
    ) -> bool {
        let trial = self.by_part.get(&part);
        trial.is_some_and(|&(_, since)| now.since(since) < MAX_TRIAL_TIME)
    }

    pub(super) fn begin(
        &mut self,
        part: PartId,
        request: RequestId,
        now: Millis,
    ) {
        self.by_part.insert(part, (request, now));
    }

    pub(super) fn end(
        &mut self,
        request: RequestId,
    ) {
        self.by_part.retain(|_, (trial, _)| *trial != request);
    }
}
