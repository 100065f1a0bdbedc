//! What VMs have stored of crashes and of sound parts, for whoever decides next.

use {
    super::{CrashSpec, EvidenceSpec, LocalScheduler},
    jasmine_core::{
        clock::Millis,
        quarantine::{CrashEvidence, CrashReport},
    },
    jasmine_telemetry::log::Line,
};

/// What a VM has stored of crashes and of sound parts.
#[derive(Clone, Debug)]
pub struct StoredEvidence {
    evidence: EvidenceSpec,
    /// When it was stored: its times are relative to it.
    at: Millis,
}

impl LocalScheduler {
    /// What this VM knows of crashes and of sound parts, for others.
    pub fn crash_evidence(&self) -> EvidenceSpec {
        let evidence = self.scheduler.borrow().crash_evidence(self.clock.now());
        let names = self.names.borrow();
        let crashes = evidence.crashes.into_iter().map(|crash| CrashSpec {
            upstream: names.upstream_name(crash.upstream).to_string(),
            ago: crash.ago,
            prompts: crash.prompts,
            requests: crash.requests,
        });
        EvidenceSpec {
            crashes: crashes.collect(),
            sound: evidence.sound,
        }
    }

    /// Whether this VM knows of crashes that accuse anything.
    pub fn has_crashes(&self) -> bool {
        self.scheduler.borrow().has_crashes()
    }

    /// Adds what `vm` has recorded of crashes and of sound parts, as it was `age` ago.
    pub(super) fn add_crash_evidence(
        &self,
        vm: &str,
        evidence: &EvidenceSpec,
        age: Millis,
    ) {
        self.add_all_evidence(&[self.resolve_evidence(vm, evidence, age)]);
    }

    /// Adds what several VMs have recorded, and decides once.
    fn add_all_evidence(
        &self,
        evidence: &[CrashEvidence],
    ) {
        self.apply(|scheduler, now| {
            for evidence in evidence {
                scheduler.add_crash_evidence(evidence, now);
            }
            scheduler.tick(now)
        });
    }

    /// Maps the names in what `vm` has recorded, as it was `age` ago, to ids.
    fn resolve_evidence(
        &self,
        vm: &str,
        evidence: &EvidenceSpec,
        age: Millis,
    ) -> CrashEvidence {
        Line::new("evidence_received")
            .with("vm", vm)
            .with("crashes", evidence.crashes.len())
            .with("sound", evidence.sound.len())
            .with("age_ms", age.0)
            .info();
        let mut names = self.names.borrow_mut();
        let crashes = evidence.crashes.iter().map(|spec| CrashReport {
            upstream: names.upstream(&spec.upstream),
            ago: spec.ago,
            prompts: spec.prompts.clone(),
            requests: spec.requests.clone(),
        });
        let evidence = CrashEvidence {
            crashes: crashes.collect(),
            sound: evidence.sound.clone(),
        };
        evidence.aged(age)
    }

    /// Records what `vm` has stored so long ago.
    pub fn note_stored_evidence(
        &self,
        vm: &str,
        evidence: EvidenceSpec,
        age: Millis,
    ) {
        let at = self.clock.now().since(age);
        let stored = StoredEvidence { evidence, at };
        self.stored_evidence
            .borrow_mut()
            .insert(vm.to_owned(), stored);
    }

    /// Records that the store holds nothing of `vm` any more.
    pub fn forget_stored_evidence(
        &self,
        vm: &str,
    ) {
        self.stored_evidence.borrow_mut().remove(vm);
    }

    /// The VMs that have stored something.
    pub fn evidence_writers(&self) -> Vec<String> {
        self.stored_evidence.borrow().keys().cloned().collect()
    }

    /// Records that another VM decides from now on.
    pub fn begin_following(&self) {
        self.scheduler.borrow_mut().begin_following();
    }

    /// Records that this VM decides alone from now on.
    pub fn begin_standalone(&self) {
        let now = self.clock.now();
        self.scheduler.borrow_mut().begin_standalone(now);
        self.add_stored_evidence();
    }

    /// Adds what VMs have stored to what this one knows, as it decides from now on.
    pub(super) fn add_stored_evidence(&self) {
        let now = self.clock.now();
        let stored = self.stored_evidence.borrow();
        let resolve = |(vm, stored): (&String, &StoredEvidence)| {
            self.resolve_evidence(vm, &stored.evidence, now.since(stored.at))
        };
        let evidence: Vec<CrashEvidence> = stored.iter().map(resolve).collect();
        drop(stored);
        if !evidence.is_empty() {
            self.add_all_evidence(&evidence);
        }
    }

    /// Waits until this VM has recorded a crash.
    pub async fn crash_recorded(&self) {
        self.crash_recorded.notified().await;
    }
}
