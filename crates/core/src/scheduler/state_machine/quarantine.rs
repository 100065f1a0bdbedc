//! Evidence about prompts that crash upstreams, and the refusal of those in quarantine.

use {
    super::Scheduler,
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{PartId, UpstreamId},
        quarantine::{
            AttemptEvidence, CrashCandidates, CrashEvidence, PartSet, PromptEvidence,
            QuarantineEvent, RequestEvidence, VerdictSource,
        },
        scheduler::{AttemptId, Job, SchedulerAction as Action, running::Stage},
    },
};

impl Scheduler {
    /// Records what the end of an assigned request shows about it and the parts of its prompt.
    pub fn note_evidence(
        &mut self,
        attempt_id: AttemptId,
        evidence: AttemptEvidence,
        now: Millis,
    ) {
        let request = self.by_attempt_id.get(&attempt_id);
        let Some(entry) = request.and_then(|request| self.entries.get(request)) else {
            return;
        };
        if let Stage::Running { upstream, .. } = entry.stage {
            let shared = entry.job.shared_parts().to_vec();
            let candidates = CrashCandidates {
                shared: &shared,
                request: entry.job.request_part(),
            };
            let sent_at = entry.assigned_at;
            let needs_review = self.note_own_evidence(upstream, candidates, evidence, sent_at, now);
            self.is_evidence_new |= needs_review;
        }
    }

    /// The id of an assigned request among what may crash upstreams.
    pub fn request_part(
        &self,
        attempt_id: AttemptId,
    ) -> Option<PartId> {
        let request = self.by_attempt_id.get(&attempt_id)?;
        let entry = self.entries.get(request)?;
        Some(entry.job.request_part())
    }

    /// What an assigned request may share with others of what may crash upstreams.
    pub fn prompt_parts(
        &self,
        attempt_id: AttemptId,
    ) -> &[PartId] {
        let request = self.by_attempt_id.get(&attempt_id);
        let entry = request.and_then(|request| self.entries.get(request));
        entry.map_or(&[], |entry| entry.job.shared_parts())
    }

    /// Records the same of a request of this VM's own callers that was sent at `sent_at`, whichever VM
    /// has assigned it; returns whether the evidence has to be reviewed.
    pub fn note_own_evidence(
        &mut self,
        upstream: UpstreamId,
        candidates: CrashCandidates<'_>,
        evidence: AttemptEvidence,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        let CrashCandidates { shared, request } = candidates;
        let mut needs_review = false;
        let prompt = match evidence.prompt {
            PromptEvidence::Crash => shared,
            PromptEvidence::None => &[],
            PromptEvidence::Sound { begun_ago } => {
                needs_review = self.quarantine.note_sound(shared, now.since(begun_ago));
                &[]
            }
        };
        let ended = match evidence.request {
            RequestEvidence::None => None,
            RequestEvidence::UpstreamEnded | RequestEvidence::UpstreamGone => Some(request),
            RequestEvidence::Answered { begun_ago } => {
                self.quarantine.note_answered(request, now.since(begun_ago));
                None
            }
        };
        if prompt.is_empty() && ended.is_none() {
            return needs_review;
        }
        self.quarantine
            .note_crash(upstream, prompt, ended, sent_at, now);
        if evidence.request == RequestEvidence::UpstreamGone {
            // What it sent before may be reported later.
            self.note_gone(upstream, now);
        }
        true
    }

    /// Records that an upstream is gone or has started anew, so that nothing that it sends refutes its end.
    pub(super) fn note_gone(
        &mut self,
        upstream: UpstreamId,
        now: Millis,
    ) {
        self.quarantine.note_gone(upstream, now);
    }

    /// Records that an upstream has sent something to this or another VM.
    pub fn note_alive(
        &mut self,
        upstream: UpstreamId,
        now: Millis,
    ) {
        self.quarantine.note_alive(upstream, now);
    }

    /// Adds what another VM has recorded of crashes and of sound parts.
    pub fn add_crash_evidence(
        &mut self,
        evidence: &CrashEvidence,
        now: Millis,
    ) {
        self.quarantine.add_evidence(evidence, now);
        self.is_evidence_new = true;
    }

    /// Whether crashes accuse anything.
    pub fn has_crashes(&self) -> bool {
        self.quarantine.has_crashes()
    }

    /// What this VM has recorded of crashes and of sound parts, for others.
    pub fn crash_evidence(
        &self,
        now: Millis,
    ) -> CrashEvidence {
        self.quarantine.evidence(now)
    }

    /// Quarantines parts, as another scheduler has.
    pub fn add_quarantine(
        &mut self,
        parts: PartSet,
        source: VerdictSource,
        now: Millis,
    ) -> Vec<Action> {
        self.quarantine.add(parts, source, now);
        self.refuse_quarantined(now)
    }

    /// Takes parts out of quarantine, as an operator or another scheduler has.
    pub fn remove_quarantine(
        &mut self,
        parts: &PartSet,
        source: VerdictSource,
        now: Millis,
    ) {
        self.quarantine.remove(parts, source, now);
    }

    /// The parts in quarantine.
    pub fn quarantined(&self) -> Vec<PartSet> {
        self.quarantine.verdicts().cloned().collect()
    }

    /// Whether requests with these are refused.
    pub fn is_quarantined(
        &self,
        candidates: CrashCandidates<'_>,
    ) -> bool {
        self.quarantine.refuses(candidates)
    }

    /// Whether an upstream ended under a request.
    pub fn is_accused(
        &self,
        request: PartId,
    ) -> bool {
        self.quarantine.is_accused(request)
    }

    /// Takes what has happened to evidence and verdicts since the last call.
    pub fn take_quarantine_events(
        &mut self,
        now: Millis,
    ) -> Vec<QuarantineEvent> {
        self.quarantine.take_events(now)
    }

    /// Refuses a request under which upstreams ended, or whose prompt has parts that crash upstreams; a hedge also while
    /// the request is suspected.
    pub(super) fn check_quarantine(
        &self,
        job: &Job,
    ) -> Result<(), Refusal> {
        let request = job.request_part();
        if self.quarantine.refuses_request(request) {
            Err(Refusal::new(ErrorKind::RequestQuarantined))
        } else if self.is_quarantined(job.crash_candidates()) {
            Err(Refusal::new(ErrorKind::PromptQuarantined))
        } else if job.is_hedge && self.quarantine.is_suspected(request) {
            Err(Refusal::new(ErrorKind::NoUpstream))
        } else {
            Ok(())
        }
    }

    /// Whether a refused request is sent to see whether its prompt still crashes upstreams; only the
    /// leader decides so, as each probe may cost an upstream.
    pub(super) fn is_probe(
        &mut self,
        job: &Job,
        now: Millis,
    ) -> bool {
        self.can_order && self.quarantine.take_probe(job.crash_candidates(), now)
    }

    /// Quarantines what new evidence points to, and refuses queued requests with it.
    pub(super) fn review_quarantine(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        if self.is_following {
            return Vec::new();
        }
        let is_due = self.quarantine.due().is_some_and(|due| now >= due);
        if !std::mem::take(&mut self.is_evidence_new) && !is_due {
            return Vec::new();
        }
        if self.quarantine.review(now) {
            self.refuse_quarantined(now)
        } else {
            Vec::new()
        }
    }

    fn refuse_quarantined(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
        self.refuse_waiting(now, |scheduler, _, job| scheduler.check_quarantine(job))
    }
}
