use {
    crate::{
        clock::Millis,
        ids::{PartId, UpstreamId},
    },
    std::collections::BTreeSet,
};

/// Reports of one crash arrive within this time of the first one; a crashed upstream is gone for longer.
const REPORT_SPREAD: Millis = Millis(1_000);
/// Most parts that one crash accuses.
const MAX_ACCUSED: usize = 256;

/// A crash of an upstream, and the parts of the prompts that it had just begun to answer.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub upstream: UpstreamId,
    pub at: Millis,
    /// Those that no later answer has acquitted.
    pub accused: BTreeSet<PartId>,
}

/// A crash as a VM tells it to a new scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// Time since the crash.
    pub ago: Millis,
    /// The accused parts.
    pub parts: Vec<PartId>,
}

impl Crash {
    pub(super) const fn new(
        upstream: UpstreamId,
        at: Millis,
    ) -> Self {
        Self {
            upstream,
            at,
            accused: BTreeSet::new(),
        }
    }

    /// Whether a report of a crash of `upstream` at `at` is one of this crash.
    pub(super) fn is_same(
        &self,
        upstream: UpstreamId,
        at: Millis,
    ) -> bool {
        self.upstream == upstream && self.at.since(at).max(at.since(self.at)) < REPORT_SPREAD
    }

    /// Accuses parts, as far as there is room, and returns those that it didn't accuse before.
    pub(super) fn accuse(
        &mut self,
        parts: &[PartId],
    ) -> Vec<PartId> {
        let room = MAX_ACCUSED.saturating_sub(self.accused.len());
        let accused = &mut self.accused;
        let new = parts.iter().copied().filter(|&part| accused.insert(part));
        new.take(room).collect()
    }
}
