use {
    super::{CrashReport, PartSet, PromptReport, SignOfLife},
    crate::{
        clock::Millis,
        ids::{PartId, UpstreamId},
    },
    std::collections::BTreeMap,
};

/// Reports of what an upstream sent before its crash arrive within this time of it.
pub(crate) const LATE_REPORT_TIME: Millis = Millis(150);
/// A crashed upstream is gone for longer, so that all reports of its end within this time are of one crash.
pub(super) const MIN_RESTART_TIME: Millis = Millis(1_500);
/// Time in which an upstream that only broke an answer off shows that it goes on.
pub(super) const SETTLE_TIME: Millis = Millis(400);
/// Most prompts, and most requests, that one crash accuses.
const MAX_ACCUSED: usize = 64;

/// A prompt that an upstream had just begun to answer as it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AccusedPrompt {
    /// What it may share with others and no later answer has acquitted.
    pub parts: PartSet,
    /// When it was sent, the last one of several alike.
    pub sent_at: Millis,
}

/// A crash of an upstream, and what may have caused it.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub upstream: UpstreamId,
    pub at: Millis,
    /// The prompts, each by itself: parts that never came together don't explain a crash together.
    pub prompts: Vec<AccusedPrompt>,
    /// The parts of these prompts.
    parts: PartSet,
    /// The requests that it had, whatever it had answered of them, and when they were last sent to it.
    pub requests: BTreeMap<PartId, Millis>,
    /// Whether the upstream was seen to be gone, or to have started anew.
    pub is_confirmed: bool,
}

impl Crash {
    pub(super) const fn new(
        upstream: UpstreamId,
        at: Millis,
    ) -> Self {
        Self {
            upstream,
            at,
            prompts: Vec::new(),
            parts: PartSet::new(),
            requests: BTreeMap::new(),
            is_confirmed: false,
        }
    }

    /// When a prompt with an accused part was last sent to the upstream; `None` if it doesn't accuse the part.
    pub(super) fn sent_at(
        &self,
        part: PartId,
    ) -> Option<Millis> {
        if part.is_request() {
            return self.requests.get(&part).copied();
        }
        if !self.parts.contains(&part) {
            return None;
        }
        let with_part = self.prompts.iter().filter(|one| one.parts.contains(&part));
        with_part.map(|one| one.sent_at).max()
    }

    pub(super) fn accuses(
        &self,
        part: PartId,
    ) -> bool {
        self.parts.contains(&part) || self.requests.contains_key(&part)
    }

    /// Whether one prompt, or the request, has all of the parts.
    pub(super) fn accuses_together(
        &self,
        parts: &PartSet,
    ) -> bool {
        let mut prompts = self.prompts.iter();
        parts.is_subset(&self.parts) && prompts.any(|one| one.parts.is_superset(parts))
            || parts.iter().all(|part| self.requests.contains_key(part))
    }

    /// Accuses a part no more; returns whether it did.
    pub(super) fn acquit(
        &mut self,
        part: PartId,
    ) -> bool {
        if part.is_request() {
            return self.requests.remove(&part).is_some();
        }
        if !self.parts.remove(&part) {
            return false;
        }
        for prompt in &mut self.prompts {
            prompt.parts.remove(&part);
        }
        self.prompts.retain(|one| !one.parts.is_empty());
        true
    }

    /// The parts that it accuses.
    pub(super) const fn parts(&self) -> &PartSet {
        &self.parts
    }

    /// All that it accuses.
    pub(super) fn all_accused(&self) -> impl Iterator<Item = PartId> {
        self.parts.iter().chain(self.requests.keys()).copied()
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

    /// Whether a sign of life of the upstream at `now` shows that it didn't crash.
    pub(super) fn is_refuted_by(
        &self,
        upstream: UpstreamId,
        sign: SignOfLife,
        now: Millis,
    ) -> bool {
        let age = now.since(self.at);
        let is_of_same_run = match sign {
            SignOfLife::Run { known_at } => known_at <= self.at,
            SignOfLife::Answer => false,
            SignOfLife::Any => age < MIN_RESTART_TIME,
        };
        !self.is_confirmed && self.upstream == upstream && age >= LATE_REPORT_TIME && is_of_same_run
    }

    /// Whether the upstream had time to show that it didn't crash.
    pub(super) fn is_settled(
        &self,
        now: Millis,
    ) -> bool {
        now.since(self.at) >= SETTLE_TIME
    }

    /// Accuses what a prompt may share with others, if there is room; returns the parts that it didn't accuse before.
    pub(super) fn accuse_prompt(
        &mut self,
        prompt: AccusedPrompt,
    ) -> Vec<PartId> {
        let has_room = self.prompts.len() < MAX_ACCUSED;
        let mut known = self.prompts.iter_mut();
        match known.find(|known| known.parts == prompt.parts) {
            Some(known) => {
                known.sent_at = known.sent_at.max(prompt.sent_at);
                Vec::new()
            }
            None if has_room && !prompt.parts.is_empty() => {
                let parts = prompt.parts.iter().copied();
                let new = parts.filter(|&part| self.parts.insert(part)).collect();
                self.prompts.push(prompt);
                new
            }
            None => Vec::new(),
        }
    }

    /// Accuses a request that was sent at `sent_at`, if there is room; returns whether it didn't accuse it before.
    pub(super) fn accuse_request(
        &mut self,
        request: PartId,
        sent_at: Millis,
    ) -> bool {
        let has_room = self.requests.len() < MAX_ACCUSED;
        match self.requests.get_mut(&request) {
            Some(known) => {
                *known = sent_at.max(*known);
                false
            }
            None if has_room => self.requests.insert(request, sent_at).is_none(),
            None => false,
        }
    }

    pub(super) fn report(
        &self,
        now: Millis,
    ) -> CrashReport {
        let prompts = self.prompts.iter().map(|one| PromptReport {
            parts: one.parts.iter().copied().collect(),
            sent_ago: now.since(one.sent_at),
        });
        let requests = self.requests.iter();
        CrashReport {
            upstream: self.upstream,
            ago: now.since(self.at),
            prompts: prompts.collect(),
            requests: requests
                .map(|(&request, &sent_at)| (request, now.since(sent_at)))
                .collect(),
        }
    }
}
