use {
    super::{LinkStatus, ProbeResult},
    crate::{clock::Millis, ids::UpstreamId},
    std::collections::BTreeSet,
};

/// Time without a byte from any upstream after which the links are tested.
const MAX_SILENCE: Millis = Millis(250);
/// Shortest time between the end of a test that an upstream answered and the next one.
const MIN_TEST_INTERVAL: Millis = Millis(1_000);
/// Distinct upstreams that have to fail a test, if that many are known.
const MIN_FAILED: usize = 2;

/// What a VM knows about its own links to the upstreams.
///
/// A failed request doesn't tell whether its upstream has failed or the VM's links have, so that some upstreams are probed
/// then. Only new connections count: open ones may live on while new ones are refused.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLinks {
    status: LinkStatus,
    suspect_since: Millis,
    answered_at: Option<Millis>,
    heard_at: Millis,
}

impl UpstreamLinks {
    /// The current status.
    pub const fn status(&self) -> LinkStatus {
        self.status
    }

    /// Records that an upstream sent something over a connection of this VM.
    pub const fn note_heard(
        &mut self,
        now: Millis,
    ) {
        self.heard_at = now;
    }

    /// Records a failed connection; returns whether a test has to begin.
    pub fn note_failure(
        &mut self,
        now: Millis,
    ) -> bool {
        let is_recent = |at: Millis| now.since(at) < MIN_TEST_INTERVAL;
        if self.status != LinkStatus::Up || self.answered_at.is_some_and(is_recent) {
            return false;
        }
        self.status = LinkStatus::Suspect;
        self.suspect_since = now;
        true
    }

    /// Records that a response is overdue; returns whether a test has to begin.
    pub fn note_silence(
        &mut self,
        now: Millis,
    ) -> bool {
        now.since(self.heard_at) >= MAX_SILENCE && self.note_failure(now)
    }

    /// Records the results of a test of some of `known` upstreams.
    pub fn note_test(
        &mut self,
        results: &[(UpstreamId, ProbeResult)],
        known: usize,
        now: Millis,
    ) {
        let answered = results
            .iter()
            .any(|&(_, result)| result == ProbeResult::Answered);
        if answered {
            self.answered_at = Some(now);
            self.heard_at = now;
        }
        // A busy upstream is silent too, but then others are heard.
        let is_heard = self.heard_at > self.suspect_since;
        let counts = |result| match result {
            ProbeResult::Answered => false,
            ProbeResult::Refused => true,
            ProbeResult::Silent => !is_heard,
        };
        let failed: BTreeSet<UpstreamId> = results
            .iter()
            .filter(|&&(_, result)| counts(result))
            .map(|&(upstream, _)| upstream)
            .collect();
        let has_failed = !failed.is_empty() && failed.len() >= MIN_FAILED.min(known);
        self.status = match self.status {
            _ if answered => LinkStatus::Up,
            LinkStatus::Lost => LinkStatus::Lost,
            _ if has_failed => LinkStatus::Lost,
            _ => LinkStatus::Up,
        };
    }
}
