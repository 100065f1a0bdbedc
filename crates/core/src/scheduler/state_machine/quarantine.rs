//! Evidence about prompts that crash upstreams, and the refusal of those in quarantine.

use {
    super::Scheduler,
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{PartId, UpstreamId},
        quarantine::{
            AttemptEvidence, CrashCandidates, CrashEvidence, EndSeen, LATE_REPORT_TIME, PartSet,
            PromptEvidence, QuarantineEvent, RequestEvidence, SignOfLife, VerdictSource,
        },
        scheduler::{
            AttemptId, EngineStatus, Job, SchedulerAction as Action, known_run::KnownRun,
            running::Stage, upstream::Upstream,
        },
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
            PromptEvidence::Open { has_broken } => {
                let quarantine = &mut self.quarantine;
                needs_review = quarantine.note_open(upstream, candidates, has_broken, sent_at, now);
                &[]
            }
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
            self.quarantine
                .note_upstream_end(upstream, EndSeen::Refused, now);
        } else {
            self.ask_for_run(upstream, now);
        }
        true
    }

    /// Requests the report of an engine that may have crashed: only its start tells whether it has.
    fn ask_for_run(
        &mut self,
        upstream: UpstreamId,
        now: Millis,
    ) {
        if let Some(engine) = self.fleet.engine_mut(upstream).filter(|_| self.can_order) {
            engine.request_report_at(now + LATE_REPORT_TIME);
        }
    }

    /// Records that an upstream has started anew, if its run isn't the one that was known before; returns whether it has.
    pub(super) fn note_run(
        &mut self,
        upstream: UpstreamId,
        known: Option<KnownRun>,
        now: Millis,
    ) -> bool {
        let (Some(known), Some(run)) = (known, self.fleet.run(upstream)) else {
            return false;
        };
        let is_new = run.started_unix_ms > known.started_unix_ms;
        if is_new {
            let known_at = known.known_at;
            let seen = EndSeen::Restarted { known_at };
            self.is_evidence_new |= self.quarantine.note_upstream_end(upstream, seen, now);
        }
        is_new
    }

    /// What an engine's report shows about its run.
    pub(super) fn sign_of_report(
        &self,
        upstream: UpstreamId,
        report: &EngineStatus,
    ) -> SignOfLife {
        let known = self.fleet.upstreams.get(&upstream);
        let same_run = known.filter(|known| known.run() == report.started_unix_ms);
        match (same_run, report.started_unix_ms) {
            (Some(known), Some(_)) => SignOfLife::Run {
                known_at: known.run_known_at,
            },
            _ => SignOfLife::Any,
        }
    }

    /// What a part of an answer shows about its upstream.
    pub(super) fn sign_of_answer(
        &self,
        upstream: UpstreamId,
    ) -> SignOfLife {
        let known = self.fleet.upstreams.get(&upstream);
        if self.can_order && known.is_some_and(Upstream::reports_run) {
            SignOfLife::Answer
        } else {
            SignOfLife::Any
        }
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
        let sign = self.sign_of_answer(upstream);
        self.quarantine.note_alive(upstream, sign, now);
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
