//! Prompt parts that crash the upstreams which answer them, known elsewhere as queries of death.
//!
//! Each end of an attempt is evidence about the parts of its prompt. An answer that breaks off just after it has begun
//! accuses them all but the last, which belongs to one request or session. An answer that goes on acquits them of the
//! crashes before it, as a crashing part lets no upstream go on. A part that several upstreams crashed under without an
//! acquittal is quarantined: requests with it are refused. Before that, a part that was never answered and that two
//! upstreams crashed under is on trial: one request with it at a time.
//!
//! A request as a whole, over all attempts of its caller, is accused by each upstream that ends under it, whatever it had
//! answered. It goes alone after two ends, and is refused after three, until a whole answer to it or for ten minutes.

mod answer_trace;
mod attempt_evidence;
mod candidates;
mod crash;
mod crash_log;
mod crash_report;
mod evidence_budget;
mod part_quarantine;
mod quarantine_event;
mod recent_parts;
mod request_suspect;
mod suspect;
mod trial_order;
mod trials;
mod verdict;
mod weighing;

pub use {
    answer_trace::{AnswerEnd, AnswerTrace, PromptEvidence},
    attempt_evidence::{AttemptEvidence, RequestEvidence},
    candidates::CrashCandidates,
    crash_report::{CrashEvidence, CrashReport, PromptReport, SoundReport},
    evidence_budget::{EvidenceBudget, select_crashes},
    part_quarantine::PartQuarantine,
    quarantine_event::{AccusedPart, CrashEnd, CrashRef, QuarantineEvent, VerdictSource},
    verdict::{PartSet, join_parts},
};
