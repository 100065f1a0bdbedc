//! Evidence about prompts that crash upstreams, and the refusal of those in quarantine.

use {
    super::Scheduler,
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{PartId, UpstreamId},
        quarantine::{CrashReport, PartSet, PromptEvidence, QuarantineChange},
        scheduler::{AttemptId, Job, SchedulerAction as Action, running::Stage},
    },
};

impl Scheduler {
    /// Records what the end of an assigned request shows about the parts of its prompt.
    pub fn note_evidence(
        &mut self,
        attempt_id: AttemptId,
        evidence: PromptEvidence,
        now: Millis,
    ) {
        let request = self.by_attempt_id.get(&attempt_id);
        let Some(entry) = request.and_then(|request| self.entries.get(request)) else {
            return;
        };
        if let Stage::Running { upstream, .. } = entry.stage {
            let parts = entry.job.shared_parts().to_vec();
            let sent_at = entry.assigned_at;
            let needs_review = self.note_own_evidence(upstream, &parts, evidence, sent_at, now);
            self.is_evidence_new |= needs_review;
        }
    }

    /// Records the same of a request of this VM's own callers that was sent at `sent_at`, whichever VM
    /// has assigned it; returns whether the evidence has to be reviewed.
    pub fn note_own_evidence(
        &mut self,
        upstream: UpstreamId,
        parts: &[PartId],
        evidence: PromptEvidence,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        match evidence {
            PromptEvidence::None => false,
            PromptEvidence::Crash => {
                let accused: Vec<_> = parts.iter().map(|&part| (part, sent_at)).collect();
                self.quarantine.note_crash(upstream, &accused, now, now);
                true
            }
            PromptEvidence::Sound { begun_ago } => {
                self.quarantine.note_sound(parts, now.since(begun_ago))
            }
        }
    }

    /// Records that an upstream has sent something to this or another VM.
    pub fn note_alive(
        &mut self,
        upstream: UpstreamId,
        now: Millis,
    ) {
        self.quarantine.note_alive(upstream, now);
    }

    /// Adds crashes that another VM has recorded.
    pub fn add_crashes(
        &mut self,
        crashes: &[CrashReport],
        now: Millis,
    ) {
        for crash in crashes {
            self.quarantine.note_report(crash, now);
        }
        self.is_evidence_new |= !crashes.is_empty();
    }

    /// The crashes that this VM has recorded, for a new scheduler.
    pub fn crashes(
        &self,
        now: Millis,
    ) -> Vec<CrashReport> {
        self.quarantine.reports(now)
    }

    /// Quarantines parts, as another scheduler has.
    pub fn add_quarantine(
        &mut self,
        parts: PartSet,
        now: Millis,
    ) -> Vec<Action> {
        self.quarantine.add(parts, now);
        self.refuse_quarantined(now)
    }

    /// Takes parts out of quarantine, as an operator or another scheduler has.
    pub fn remove_quarantine(
        &mut self,
        parts: &PartSet,
        now: Millis,
    ) {
        self.quarantine.remove(parts, now);
    }

    /// The parts in quarantine.
    pub fn quarantined(&self) -> Vec<PartSet> {
        self.quarantine.verdicts().cloned().collect()
    }

    /// Whether prompts with these shared parts are refused.
    pub fn is_quarantined(
        &self,
        parts: &[PartId],
    ) -> bool {
        self.quarantine.refuses(parts)
    }

    /// Takes the changes of the quarantine since the last call.
    pub fn take_quarantine_changes(&mut self) -> Vec<QuarantineChange> {
        self.quarantine.take_changes()
    }

    /// Refuses a request whose prompt has parts that crash upstreams.
    pub(super) fn check_quarantine(
        &self,
        job: &Job,
    ) -> Result<(), Refusal> {
        if self.is_quarantined(job.shared_parts()) {
            return Err(Refusal::new(ErrorKind::PromptQuarantined));
        }
        Ok(())
    }

    /// Whether a refused request is sent to see whether its prompt still crashes upstreams; only the
    /// leader decides so, as each probe may cost an upstream.
    pub(super) fn is_probe(
        &mut self,
        job: &Job,
        now: Millis,
    ) -> bool {
        self.can_order && self.quarantine.take_probe(job.shared_parts(), now)
    }

    /// Quarantines what new evidence points to, and refuses queued requests with it.
    pub(super) fn review_quarantine(
        &mut self,
        now: Millis,
    ) -> Vec<Action> {
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
