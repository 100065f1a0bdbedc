//! Parts of prompts that crash upstreams: evidence, and what this VM refuses.

use {
    super::{
        CrashSpec, GenerationSpec, LocalScheduler, RunningSpec, VmHistory, job_spec::adapter_part,
    },
    jasmine_core::{
        clock::Millis,
        ids::PartId,
        quarantine::{
            AttemptEvidence, CrashCandidates, CrashReport, PartSet, PromptEvidence,
            QuarantineChange, RequestEvidence, join_parts,
        },
        scheduler::AttemptId,
    },
    jasmine_telemetry::log::Line,
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
            let request = self.scheduler.borrow().request_part(attempt_id);
            Line::new("crash_reported")
                .with("upstream", upstream)
                .with(
                    "request",
                    request.map_or_else(String::new, |it| it.to_string()),
                )
                .with("prompt", is_crash)
                .info();
        }
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.note_evidence(attempt_id, evidence, now);
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

    /// The crashes that this VM has recorded.
    pub(super) fn crashes(&self) -> Vec<CrashSpec> {
        let crashes = self.scheduler.borrow().crashes(self.clock.now());
        let names = self.names.borrow();
        let specs = crashes.into_iter().map(|crash| CrashSpec {
            upstream: names.upstream_name(crash.upstream).to_string(),
            ago: crash.ago,
            accused: crash.accused,
        });
        specs.collect()
    }

    /// Adds what another VM has recorded and refuses.
    pub(super) fn add_quarantine_history(
        &self,
        history: &VmHistory,
    ) {
        let crashes: Vec<CrashReport> = {
            let mut names = self.names.borrow_mut();
            let specs = history.crashes.iter();
            let reports = specs.map(|spec| CrashReport {
                upstream: names.upstream(&spec.upstream),
                ago: spec.ago,
                accused: spec.accused.clone(),
            });
            reports.collect()
        };
        self.apply(|scheduler, now| {
            let mut actions = Vec::new();
            for parts in &history.quarantine {
                actions.extend(scheduler.add_quarantine(parts.clone(), now));
            }
            scheduler.add_crashes(&crashes, now);
            actions.extend(scheduler.tick(now));
            actions
        });
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
            self.add_quarantine(PartSet::from([PartId::Request(fingerprint)]));
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
            self.remove_quarantine(parts);
        }
        for parts in sets.iter().filter(|parts| !known.contains(parts)) {
            self.add_quarantine(parts.clone());
        }
    }

    /// Refuses parts from now on.
    pub fn add_quarantine(
        &self,
        parts: PartSet,
    ) {
        self.apply(|scheduler, now| scheduler.add_quarantine(parts, now));
    }

    /// Refuses parts no more.
    pub fn remove_quarantine(
        &self,
        parts: &PartSet,
    ) {
        let now = self.clock.now();
        self.scheduler.borrow_mut().remove_quarantine(parts, now);
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
        let changes = self.scheduler.borrow_mut().take_quarantine_changes();
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match change {
                QuarantineChange::Added { parts, crashes } if is_of_request(&parts) => {
                    Line::new("request_quarantined")
                        .with("request", join_parts(&parts, ","))
                        .with("ends", crashes)
                        .warn();
                }
                QuarantineChange::Removed { parts } if is_of_request(&parts) => {
                    Line::new("request_released")
                        .with("request", join_parts(&parts, ","))
                        .info();
                }
                QuarantineChange::Added { parts, crashes } => Line::new("prompt_quarantined")
                    .with("parts", join_parts(&parts, ","))
                    .with("adapters", self.adapter_names(&parts))
                    .with("crashes", crashes)
                    .warn(),
                QuarantineChange::Removed { parts } => Line::new("prompt_released")
                    .with("parts", join_parts(&parts, ","))
                    .with("adapters", self.adapter_names(&parts))
                    .warn(),
            }
        }
        self.quarantine_hash.set(hash_of(self.quarantined()));
        self.quarantine_changed.notify_one();
    }

    /// The adapters among parts, as far as this VM has heard of them; `-` if there are none.
    fn adapter_names(
        &self,
        parts: &PartSet,
    ) -> String {
        let names = self.names.borrow();
        let adapters = names.adapters();
        let adapters: Vec<&str> = adapters
            .filter(|name| parts.contains(&adapter_part(name)))
            .collect();
        if adapters.is_empty() {
            return "-".to_owned();
        }
        adapters.join(",")
    }
}

/// Whether a verdict is about a request as a whole.
fn is_of_request(parts: &PartSet) -> bool {
    parts.iter().any(|part| part.is_request())
}

fn hash_of(mut sets: Vec<PartSet>) -> u64 {
    if sets.is_empty() {
        return 0;
    }
    sets.sort();
    let texts: Vec<String> = sets.iter().map(|parts| join_parts(parts, ",")).collect();
    xxh3_64(texts.join(";").as_bytes())
}
