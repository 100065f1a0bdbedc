use {
    crate::{clock::Millis, ids::UpstreamId},
    std::collections::{HashMap, VecDeque},
};

/// Upper bound of pending report requests, which limits connections and file descriptors.
///
/// After a takeover the reports of all engines are wanted: thousands of connections at once would
/// use up all descriptors.
const MAX_PENDING_REPORTS: usize = 48;

/// Queue of engines to request reports from, and the pending requests.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportQueue {
    /// Engines that a request is waiting for.
    urgent: VecDeque<UpstreamId>,
    due: VecDeque<UpstreamId>,
    /// Pending report requests, with the time at which each expires.
    pending: HashMap<UpstreamId, Millis>,
}

impl ReportQueue {
    /// Records that a request is waiting until the engine can take orders.
    pub(super) fn note_urgent(
        &mut self,
        engine: UpstreamId,
    ) {
        if self.urgent.len() < MAX_PENDING_REPORTS && !self.urgent.contains(&engine) {
            self.urgent.push_back(engine);
        }
    }

    /// Replaces the engines whose reports are due, and drops expired requests.
    pub(super) fn set_due<I>(
        &mut self,
        due: I,
        now: Millis,
    ) where
        I: Iterator<Item = UpstreamId>,
    {
        self.due.clear();
        self.due.extend(due);
        self.pending.retain(|_, expires_at| now < *expires_at);
    }

    /// Records that a report request was answered or has failed.
    pub(super) fn note_answer(
        &mut self,
        engine: UpstreamId,
    ) {
        self.pending.remove(&engine);
    }

    /// The next engine to request a report from; `wants` returns when that request expires.
    pub(super) fn next<F>(
        &mut self,
        mut wants: F,
    ) -> Option<UpstreamId>
    where
        F: FnMut(UpstreamId) -> Option<Millis>,
    {
        while self.pending.len() < MAX_PENDING_REPORTS {
            let engine = self.urgent.pop_front().or_else(|| self.due.pop_front())?;
            if let Some(expires_at) = wants(engine) {
                self.pending.insert(engine, expires_at);
                return Some(engine);
            }
        }
        None
    }
}
