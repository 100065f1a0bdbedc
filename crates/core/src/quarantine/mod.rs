//! Prompt parts that crash the upstreams which answer them, known elsewhere as queries of death.
//!
//! An upstream that ends accuses the parts of all prompts that were under way there, but their last ones, which belong to
//! one request or session: however the connection of each looked, and whoever has seen the end. A whole answer acquits
//! them of the crashes before it, as a crashing part lets no upstream go on. A part that several upstreams crashed under
//! without an acquittal is quarantined: requests with it are refused. Before that, a part that was never answered and
//! that two upstreams crashed under is on trial: one request with it at a time.
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
mod open_attempts;
mod part_quarantine;
mod quarantine_event;
mod recent_parts;
mod request_suspect;
mod sign_of_life;
mod suspect;
mod trial_order;
mod trials;
mod verdict;
mod weighing;

pub(crate) use crash::LATE_REPORT_TIME;
pub use {
    answer_trace::{AnswerEnd, AnswerTrace, PromptEvidence},
    attempt_evidence::{AttemptEvidence, RequestEvidence},
    candidates::CrashCandidates,
    crash_report::{CrashEvidence, CrashReport, PromptReport, SoundReport},
    evidence_budget::{EvidenceBudget, select_crashes},
    part_quarantine::PartQuarantine,
    quarantine_event::{AccusedPart, CrashEnd, CrashRef, EndSeen, QuarantineEvent, VerdictSource},
    sign_of_life::SignOfLife,
    verdict::{PartSet, join_parts},
};
