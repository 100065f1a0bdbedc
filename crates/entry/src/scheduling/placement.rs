use {
    super::{Assignment, GenerationSpec, SchedulerNode, convert::JobUpdate},
    jasmine_core::{
        clock::Millis,
        quarantine::{AttemptEvidence, PromptEvidence},
        scheduler::{Outcome, UpstreamSignals, WaitReason},
    },
    std::{cell::Cell, future::pending, net::SocketAddr, rc::Rc},
};

/// A slot at an upstream, reserved for a request.
///
/// Dropped without [`Placement::end`], it reports the request as abandoned, which releases the slot.
#[derive(Debug)]
pub struct Placement {
    scheduling: Rc<SchedulerNode>,
    number: u64,
    /// The upstream's id.
    pub upstream: String,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The adapter version required to run it, if an operator announced one.
    pub version: Option<u32>,
    /// The version of the upstream's software, if it is known for certain.
    pub build: Option<String>,
    /// What the request waited for longest.
    pub waited_for: WaitReason,
    /// Its expected work by what this VM has learned, if cost estimates take effect.
    pub expected_cost: Option<Millis>,
    /// When the upstream was assigned.
    assigned_at: Millis,
    /// What the upstream stated, once its response has begun.
    signals: Cell<Option<UpstreamSignals>>,
    /// Whether the request was sent to the upstream.
    is_sent: Cell<bool>,
    /// Whether the answer has begun.
    has_begun: Cell<bool>,
    has_ended: Cell<bool>,
}

impl Placement {
    pub(super) fn new(
        scheduling: Rc<SchedulerNode>,
        number: u64,
        assignment: Assignment,
        assigned_at: Millis,
    ) -> Self {
        let Assignment {
            upstream,
            address,
            version,
            build,
            waited_for,
        } = assignment;
        Self {
            scheduling,
            number,
            upstream,
            address,
            version,
            build,
            waited_for,
            expected_cost: None,
            assigned_at,
            signals: Cell::new(None),
            is_sent: Cell::new(false),
            has_begun: Cell::new(false),
            has_ended: Cell::new(false),
        }
    }

    /// Records what the upstream states about itself in the head of its response.
    pub fn note_signals(
        &self,
        signals: &UpstreamSignals,
    ) {
        self.signals.set(Some(*signals));
        self.scheduling
            .note_signals(&self.upstream, signals, self.assigned_at);
    }

    /// Counts a load report of the upstream that can't be decoded, or whose pace isn't credible.
    pub fn note_implausible_report(&self) {
        self.scheduling
            .local_scheduler
            .note_implausible_report(&self.upstream);
    }

    /// Records whether the request is sent to the upstream.
    pub fn set_sent(
        &self,
        is_sent: bool,
    ) {
        self.is_sent.set(is_sent);
    }

    /// Records that the answer has begun.
    pub fn note_begun(&self) {
        self.has_begun.set(true);
    }

    /// Waits until the answer may no longer begin, as a newer version of the adapter was announced; forever once it has
    /// begun.
    pub async fn begin_expired(
        &self,
        generation: Option<&GenerationSpec>,
    ) {
        let named = generation.and_then(|spec| Some((&spec.model, spec.adapter.as_ref()?)));
        match named {
            Some((model, adapter)) => {
                let local_scheduler = &self.scheduling.local_scheduler;
                local_scheduler
                    .version_expired(model, adapter, self.version)
                    .await;
            }
            None => pending().await,
        }
        if self.has_begun.get() {
            pending::<()>().await;
        }
    }

    /// Reports that the first event of the answer was received.
    pub fn first_event(&self) {
        self.scheduling
            .record_update(self.number, JobUpdate::FirstEvent, self.signals.get());
    }

    /// What an attempt shows that has ended so: one that was sent and has no response may have been under way as its
    /// upstream ended.
    pub fn evidence_of(
        &self,
        outcome: Outcome,
        evidence: AttemptEvidence,
    ) -> AttemptEvidence {
        let is_open = self.is_sent.get() && outcome.may_be_unfinished();
        let prompt = match evidence.prompt {
            PromptEvidence::None if is_open => PromptEvidence::Open { has_broken: false },
            PromptEvidence::Open { .. } if !is_open => PromptEvidence::None,
            known => known,
        };
        AttemptEvidence { prompt, ..evidence }
    }

    /// Reports how the request ended, and what that shows; later calls have no effect.
    pub fn end(
        &self,
        outcome: Outcome,
        evidence: AttemptEvidence,
    ) {
        if !self.has_ended.replace(true) {
            let evidence = self.evidence_of(outcome, evidence);
            self.scheduling.record_update(
                self.number,
                JobUpdate::Ended(outcome, evidence),
                self.signals.get(),
            );
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.end(Outcome::Abandoned, AttemptEvidence::NONE);
    }
}
