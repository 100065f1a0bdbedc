use {
    super::{
        SignOfLife,
        crash::{AccusedPrompt, LATE_REPORT_TIME},
    },
    crate::{
        clock::Millis,
        ids::{PartId, UpstreamId},
    },
    std::collections::{HashMap, VecDeque},
};

/// How long after its end an attempt may be found to have been under way as its upstream ended.
const RETENTION: Millis = Millis(5_000);
/// Most attempts at one upstream that are kept; the oldest go first.
const MAX_PER_UPSTREAM: usize = 64;

/// An attempt that was given up, or whose connection broke, before its answer was whole.
#[derive(Clone, Debug)]
pub(super) struct OpenAttempt {
    pub prompt: AccusedPrompt,
    pub request: PartId,
    pub ended_at: Millis,
    /// Whether its connection broke, as at the end of its upstream.
    pub has_broken: bool,
}

impl OpenAttempt {
    pub(super) const fn sent_at(&self) -> Millis {
        self.prompt.sent_at
    }

    /// Whether its upstream has outlived it.
    fn is_closed_by(
        &self,
        sign: SignOfLife,
        now: Millis,
    ) -> bool {
        let is_of_same_run = match sign {
            SignOfLife::Run { known_at } => known_at <= self.sent_at(),
            SignOfLife::Answer | SignOfLife::Any => true,
        };
        is_of_same_run && now.since(self.ended_at) >= LATE_REPORT_TIME
    }
}

/// Attempts without a whole answer, until their upstreams are heard to go on or seen to have ended.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenAttempts {
    by_upstream: HashMap<UpstreamId, VecDeque<OpenAttempt>>,
}

impl OpenAttempts {
    pub(super) fn add(
        &mut self,
        upstream: UpstreamId,
        attempt: OpenAttempt,
    ) {
        let attempts = self.by_upstream.entry(upstream).or_default();
        attempts.retain(|known| attempt.ended_at.since(known.ended_at) < RETENTION);
        if attempts.len() >= MAX_PER_UPSTREAM {
            attempts.pop_front();
        }
        attempts.push_back(attempt);
    }

    /// Forgets those that the upstream has outlived.
    pub(super) fn note_alive(
        &mut self,
        upstream: UpstreamId,
        sign: SignOfLife,
        now: Millis,
    ) {
        if let Some(attempts) = self.by_upstream.get_mut(&upstream) {
            attempts.retain(|attempt| !attempt.is_closed_by(sign, now));
            if attempts.is_empty() {
                self.by_upstream.remove(&upstream);
            }
        }
    }

    /// Takes those that were under way as the upstream ended.
    pub(super) fn take(
        &mut self,
        upstream: UpstreamId,
        now: Millis,
    ) -> Vec<OpenAttempt> {
        let attempts = self.by_upstream.remove(&upstream).unwrap_or_default();
        let recent = attempts.into_iter();
        recent
            .filter(|attempt| now.since(attempt.ended_at) < RETENTION)
            .collect()
    }
}
