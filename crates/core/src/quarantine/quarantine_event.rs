use {
    super::PartSet,
    crate::{
        clock::Millis,
        ids::{PartId, UpstreamId},
    },
};

/// Who has put parts into quarantine or taken them out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum VerdictSource {
    /// This VM, by the evidence that it has.
    #[display("evidence")]
    Evidence,
    /// The leader, as it told this VM.
    #[display("leader")]
    Leader,
    /// Another VM, as it told this one when it began to lead.
    #[display("vm")]
    Vm,
    /// The store, which holds what leaders have written and operators have left there.
    #[display("store")]
    Store,
    /// This VM, as it has room for so many verdicts only.
    #[display("room")]
    Room,
    /// This VM, as the verdict is old.
    #[display("age")]
    Age,
}

/// Why a crash is no evidence any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum CrashEnd {
    /// The upstream was heard just after.
    #[display("heard")]
    Refuted,
    /// Answers have acquitted all that it accused.
    #[display("acquitted")]
    Acquitted,
    /// It is old.
    #[display("age")]
    Old,
    /// There is room for so many crashes only.
    #[display("room")]
    Room,
}

/// How an upstream was seen to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display)]
pub enum EndSeen {
    /// Its machine refused connections just after one had broken.
    #[display("refused")]
    Refused,
    /// Its report or its entry states another start.
    #[display("restarted")]
    Restarted {
        /// From when on the start before was known.
        known_at: Millis,
    },
}

/// A crash as the evidence of a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashRef {
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// Time since the crash.
    pub ago: Millis,
}

/// A part that goes one request at a time, and the crashes that accuse it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccusedPart {
    /// The part.
    pub part: PartId,
    /// How many crashes accuse it.
    pub crashes: usize,
    /// How many of them came under prompts that were sent long after it had to be known.
    pub late: usize,
}

/// What has happened to evidence and verdicts, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineEvent {
    /// Prompts with all of these parts, or the request, are refused from now on.
    Added {
        /// The parts.
        parts: PartSet,
        /// Who has decided so.
        source: VerdictSource,
        /// The crashes that accuse them, as far as this VM knows.
        crashes: Vec<CrashRef>,
    },
    /// They aren't any more.
    Removed {
        /// The parts.
        parts: PartSet,
        /// Who has decided so.
        source: VerdictSource,
    },
    /// A request was sent that goes one at a time, as crashes accuse what it may share with others.
    Sent {
        /// The request.
        request: PartId,
        /// The upstream that it was sent to.
        upstream: UpstreamId,
        /// What is accused.
        accused: Vec<AccusedPart>,
        /// The verdicts that it was sent in spite of, as a probe.
        probed: Vec<PartSet>,
    },
    /// An upstream has ended under requests that had shown nothing by themselves.
    Ended {
        /// The upstream.
        upstream: UpstreamId,
        /// How that was seen.
        seen: EndSeen,
        /// The requests.
        requests: Vec<PartId>,
    },
    /// A crash is no evidence any more.
    Dropped {
        /// The crash.
        crash: CrashRef,
        /// Why.
        end: CrashEnd,
    },
}

impl QuarantineEvent {
    /// Whether it changes what is refused.
    pub const fn is_change(&self) -> bool {
        matches!(self, Self::Added { .. } | Self::Removed { .. })
    }
}
