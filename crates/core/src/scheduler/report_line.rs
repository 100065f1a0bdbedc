use {
    crate::{clock::Millis, ids::UpstreamId},
    std::collections::{HashMap, VecDeque},
};

/// Reports that are asked for at a time. After a takeover all engines' are wanted: thousands of connections at once
/// would take all descriptors, and the answers be lost behind each other.
const MAX_ASKED: usize = 48;

/// Engines whose reports are wanted, and those that were asked for theirs.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportLine {
    /// Those that a request waits for.
    urgent: VecDeque<UpstreamId>,
    due: VecDeque<UpstreamId>,
    /// Engines whose answer is out, with until when it is waited for.
    asked: HashMap<UpstreamId, Millis>,
}

impl ReportLine {
    /// Notes that a request waits until an engine can be ordered.
    pub(super) fn note_urgent(
        &mut self,
        engine: UpstreamId,
    ) {
        if self.urgent.len() < MAX_ASKED && !self.urgent.contains(&engine) {
            self.urgent.push_back(engine);
        }
    }

    /// Takes the engines whose reports are due, in place of those known before.
    pub(super) fn set_due<I>(
        &mut self,
        due: I,
        now: Millis,
    ) where
        I: Iterator<Item = UpstreamId>,
    {
        self.due.clear();
        self.due.extend(due);
        self.asked.retain(|_, until| now < *until);
    }

    /// Notes that an engine has answered, or won't.
    pub(super) fn note_answer(
        &mut self,
        engine: UpstreamId,
    ) {
        self.asked.remove(&engine);
    }

    /// The next engine to ask, as far as `wants` says that its report is still wanted.
    pub(super) fn next<F>(
        &mut self,
        mut wants: F,
    ) -> Option<UpstreamId>
    where
        F: FnMut(UpstreamId) -> Option<Millis>,
    {
        while self.asked.len() < MAX_ASKED {
            let engine = self.urgent.pop_front().or_else(|| self.due.pop_front())?;
            if let Some(until) = wants(engine) {
                self.asked.insert(engine, until);
                return Some(engine);
            }
        }
        None
    }
}
