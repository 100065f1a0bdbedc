use {
    crate::{
        clock::Millis,
        ids::{PartId, UpstreamId},
    },
    std::collections::BTreeMap,
};

/// Reports of what an upstream sent before its crash arrive within this time of it.
const LATE_REPORT_TIME: Millis = Millis(150);
/// A crashed upstream is gone for longer, so that all reports of its end within this time are of one crash.
pub(super) const MIN_RESTART_TIME: Millis = Millis(1_500);
/// Time in which an upstream that only broke an answer off shows that it goes on.
pub(super) const SETTLE_TIME: Millis = Millis(400);
/// Most parts, and most requests, that one crash accuses.
const MAX_ACCUSED: usize = 256;

/// A crash of an upstream, and what may have caused it.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub upstream: UpstreamId,
    pub at: Millis,
    /// The parts of prompts that it had just begun to answer and that no later answer has acquitted, and when a prompt
    /// with them was last sent to it.
    pub accused: BTreeMap<PartId, Millis>,
    /// The same for the requests that it had, whatever it had answered of them.
    pub requests: BTreeMap<PartId, Millis>,
    /// Whether the upstream was seen to be gone, or to have started anew.
    pub is_confirmed: bool,
}

/// A crash as a VM tells it to a new scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// Time since the crash.
    pub ago: Millis,
    /// The accused parts, and how long ago a prompt with them was sent to the upstream.
    pub accused: Vec<(PartId, Millis)>,
}

impl Crash {
    pub(super) const fn new(
        upstream: UpstreamId,
        at: Millis,
    ) -> Self {
        Self {
            upstream,
            at,
            accused: BTreeMap::new(),
            requests: BTreeMap::new(),
            is_confirmed: false,
        }
    }

    const fn accused_with(
        &self,
        part: PartId,
    ) -> &BTreeMap<PartId, Millis> {
        if part.is_request() {
            &self.requests
        } else {
            &self.accused
        }
    }

    const fn accused_with_mut(
        &mut self,
        part: PartId,
    ) -> &mut BTreeMap<PartId, Millis> {
        if part.is_request() {
            &mut self.requests
        } else {
            &mut self.accused
        }
    }

    /// When a prompt with an accused part was last sent to the upstream; `None` if it doesn't accuse the part.
    pub(super) fn sent_at(
        &self,
        part: PartId,
    ) -> Option<Millis> {
        self.accused_with(part).get(&part).copied()
    }

    pub(super) fn accuses(
        &self,
        part: PartId,
    ) -> bool {
        self.sent_at(part).is_some()
    }

    /// Accuses a part no more; returns whether it did.
    pub(super) fn acquit(
        &mut self,
        part: PartId,
    ) -> bool {
        self.accused_with_mut(part).remove(&part).is_some()
    }

    /// All that it accuses.
    pub(super) fn all_accused(&self) -> impl Iterator<Item = (PartId, Millis)> {
        let all = self.accused.iter().chain(&self.requests);
        all.map(|(&part, &sent_at)| (part, sent_at))
    }

    /// Whether a report of a crash of `upstream` at `at`, under prompts that were sent until `sent_at`, is one of this
    /// crash.
    ///
    /// What was under way at the crash ended with it, even if its VM notices later.
    pub(super) fn is_same(
        &self,
        upstream: UpstreamId,
        sent_at: Millis,
        at: Millis,
    ) -> bool {
        let is_close = self.at.since(at).max(at.since(self.at)) < MIN_RESTART_TIME;
        let was_under_way = (sent_at..=at).contains(&self.at);
        let is_next_start = self.is_confirmed && sent_at > self.at;
        self.upstream == upstream && !is_next_start && (is_close || was_under_way)
    }

    /// Whether something from the upstream at `now` shows that it didn't crash.
    pub(super) fn is_refuted_by(
        &self,
        upstream: UpstreamId,
        now: Millis,
    ) -> bool {
        let age = now.since(self.at);
        !self.is_confirmed
            && self.upstream == upstream
            && (LATE_REPORT_TIME..MIN_RESTART_TIME).contains(&age)
    }

    /// Whether the upstream had time to show that it didn't crash.
    pub(super) fn is_settled(
        &self,
        now: Millis,
    ) -> bool {
        now.since(self.at) >= SETTLE_TIME
    }

    /// Accuses a part of a prompt that was sent at `sent_at`, if there is room; returns whether it wasn't accused before.
    pub(super) fn accuse(
        &mut self,
        part: PartId,
        sent_at: Millis,
    ) -> bool {
        let accused = self.accused_with_mut(part);
        let has_room = accused.len() < MAX_ACCUSED;
        match accused.get_mut(&part) {
            Some(known) => *known = sent_at.max(*known),
            None if has_room => {
                accused.insert(part, sent_at);
                return true;
            }
            None => {}
        }
        false
    }
}
