//! Parts of prompts that crash upstreams: evidence, and what this VM refuses.

use {
    super::{GenerationSpec, LocalScheduler, RunningSpec, VmHistory},
    jasmine_core::{
        clock::Millis,
        ids::PartId,
        quarantine::{
            AttemptEvidence, CrashCandidates, PartSet, PromptEvidence, QuarantineEvent,
            RequestEvidence, VerdictSource, join_parts,
        },
        scheduler::AttemptId,
    },
    jasmine_telemetry::log::Line,
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64,
};

impl LocalScheduler {
    /// Records what the end of an assigned request shows about it and its prompt.
    pub fn note_evidence(
        &self,
        attempt_id: AttemptId,
        evidence: AttemptEvidence,
    ) {
        let now = self.clock.now();
        let is_crash = evidence.prompt == PromptEvidence::Crash;
        let has_ended = matches!(
            evidence.request,
            RequestEvidence::UpstreamEnded | RequestEvidence::UpstreamGone
        );
        if (is_crash || has_ended)
            && let Some(upstream) = self.upstream_of(attempt_id)
        {
            let scheduler = self.scheduler.borrow();
            let request = scheduler.request_part(attempt_id);
            let parts = scheduler.prompt_parts(attempt_id);
            Line::new("crash_reported")
                .with("upstream", upstream)
                .with(
                    "request",
                    request.map_or_else(String::new, |it| it.to_string()),
                )
                .with("prompt", is_crash)
                .with("gone", evidence.request == RequestEvidence::UpstreamGone)
                .with("parts", join_parts(parts, ","))
                .info();
        }
        self.scheduler
            .borrow_mut()
            .note_evidence(attempt_id, evidence, now);
        if is_crash || has_ended {
            self.crash_recorded.notify_one();
        }
    }

    /// Records the same of a request of this VM's own callers that the leader has assigned.
    pub fn note_own_evidence(
        &self,
        running: &RunningSpec,
        evidence: AttemptEvidence,
        sent_at: Millis,
    ) {
        let now = self.clock.now();
        let upstream = self.names.borrow_mut().upstream(&running.upstream);
        let generation = running.job.generation.as_ref();
        let shared = generation.map_or_else(Vec::new, GenerationSpec::shared_parts);
        let candidates = CrashCandidates {
            shared: &shared,
            request: PartId::Request(running.job.caller),
        };
        let mut scheduler = self.scheduler.borrow_mut();
        // The leader reviews it; this VM does when its role changes.
        scheduler.note_own_evidence(upstream, candidates, evidence, sent_at, now);
    }

    /// Records that an upstream has sent something to this VM.
    pub(super) fn note_alive(
        &self,
        upstream: &str,
    ) {
        let id = self.names.borrow_mut().upstream(upstream);
        let now = self.clock.now();
        self.scheduler.borrow_mut().note_alive(id, now);
    }

    /// Adds what another VM has recorded and refuses.
    pub(super) fn add_quarantine_history(
        &self,
        vm: &str,
        history: &VmHistory,
    ) {
        self.add_crash_evidence(vm, &history.evidence, Millis::ZERO);
        self.apply(|scheduler, now| {
            let sets = history.quarantine.iter().cloned();
            let actions = sets.map(|set| scheduler.add_quarantine(set, VerdictSource::Vm, now));
            actions.flatten().collect()
        });
        self.crash_recorded.notify_one();
    }

    /// Whether this VM refuses a request with this fingerprint.
    pub fn refuses(
        &self,
        generation: Option<&GenerationSpec>,
        fingerprint: u64,
    ) -> bool {
        let shared = generation.map_or_else(Vec::new, GenerationSpec::shared_parts);
        let candidates = CrashCandidates {
            shared: &shared,
            request: PartId::Request(fingerprint),
        };
        self.scheduler.borrow().is_quarantined(candidates)
    }

    /// Refuses a request, as the leader does.
    pub(super) fn refuse_request(
        &self,
        fingerprint: u64,
    ) {
        if !self.refuses(None, fingerprint) {
            let request = PartSet::from([PartId::Request(fingerprint)]);
            self.add_quarantine(request, VerdictSource::Leader);
        }
    }

    /// Whether an upstream ended under a request, as far as this VM has seen.
    pub(super) fn is_accused(
        &self,
        fingerprint: u64,
    ) -> bool {
        let request = PartId::Request(fingerprint);
        self.scheduler.borrow().is_accused(request)
    }

    /// The parts that this VM refuses.
    pub fn quarantined(&self) -> Vec<PartSet> {
        self.scheduler.borrow().quarantined()
    }

    /// A hash of the parts that this VM refuses; zero if there are none.
    pub const fn quarantine_hash(&self) -> u64 {
        self.quarantine_hash.get()
    }

    /// Refuses these parts, as the leader does, and those that the store holds: the leader may not have read it yet.
    pub fn replace_quarantine(
        &self,
        sets: &[PartSet],
    ) {
        let known = self.quarantined();
        let stored = self.stored_quarantine();
        let is_released = |parts: &&PartSet| !sets.contains(parts) && !stored.contains(parts);
        for parts in known.iter().filter(is_released) {
            self.remove_quarantine(parts, VerdictSource::Leader);
        }
        for parts in sets.iter().filter(|parts| !known.contains(parts)) {
            self.add_quarantine(parts.clone(), VerdictSource::Leader);
        }
    }

    /// Refuses parts from now on.
    pub fn add_quarantine(
        &self,
        parts: PartSet,
        source: VerdictSource,
    ) {
        self.apply(|scheduler, now| scheduler.add_quarantine(parts, source, now));
    }

    /// Refuses parts no more.
    pub fn remove_quarantine(
        &self,
        parts: &PartSet,
        source: VerdictSource,
    ) {
        let now = self.clock.now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.remove_quarantine(parts, source, now);
        drop(scheduler);
        self.publish_quarantine_changes();
    }

    /// Records that the store holds these parts.
    pub fn note_stored_quarantine(
        &self,
        parts: PartSet,
    ) {
        self.stored_quarantine.borrow_mut().insert(parts);
    }

    /// Records that the store holds these parts no more; returns whether it did.
    pub fn note_unstored_quarantine(
        &self,
        parts: &PartSet,
    ) -> bool {
        self.stored_quarantine.borrow_mut().remove(parts)
    }

    /// The parts that the store holds.
    pub fn stored_quarantine(&self) -> Vec<PartSet> {
        self.stored_quarantine.borrow().iter().cloned().collect()
    }

    /// Waits for a change of what this VM refuses.
    pub async fn quarantine_changed(&self) {
        self.quarantine_changed.notified().await;
    }

    pub(super) fn publish_quarantine_changes(&self) {
        let now = self.clock.now();
        let events = self.scheduler.borrow_mut().take_quarantine_events(now);
        if events.is_empty() {
            return;
        }
        {
            let names = self.names.borrow();
            let mut log = self.quarantine_log.borrow_mut();
            for event in &events {
                log.log(event, &names, now);
            }
        }
        let is_end = |event: &QuarantineEvent| matches!(event, QuarantineEvent::Ended { .. });
        if events.iter().any(is_end) {
            self.crash_recorded.notify_one();
        }
        if events.iter().any(QuarantineEvent::is_change) {
            self.quarantine_hash.set(hash_of(self.quarantined()));
            self.quarantine_changed.notify_one();
        }
    }

    /// How often each event of evidence and verdicts has happened since this VM started.
    pub fn quarantine_counts(&self) -> BTreeMap<&'static str, u64> {
        self.quarantine_log.borrow().counts().clone()
    }
}

fn hash_of(mut sets: Vec<PartSet>) -> u64 {
    if sets.is_empty() {
        return 0;
    }
    sets.sort();
    let texts: Vec<String> = sets.iter().map(|parts| join_parts(parts, ",")).collect();
    xxh3_64(texts.join(";").as_bytes())
}
