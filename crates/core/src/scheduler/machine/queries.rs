//! What the scheduler answers about itself.

use {
    super::{FORGET_AFTER, Scheduler},
    crate::{
        clock::Millis,
        ids::{ServiceId, UpstreamId},
        scheduler::{Ticket, WaitTimes, running::Stage},
    },
};

/// How often an engine that waits for something is looked at again, at least.
const LOOK_AGAIN: Millis = Millis(50);

impl Scheduler {
    /// When [`Self::tick`] is wanted at the latest.
    pub fn wake_at(
        &self,
        now: Millis,
    ) -> Millis {
        let idle = now + FORGET_AFTER;
        let totals = &self.fleet.totals;
        let looked_next = self.engines_looked_at + self.engines_pause();
        let report = totals.next_report.filter(|_| self.may_order);
        let report = report.map(|at| at.max(looked_next));
        let soonest = report.into_iter().fold(idle, Millis::min);
        if self.queue.is_empty() {
            return soonest.max(now + Millis(1));
        }
        totals
            .next_load
            .into_iter()
            .chain(self.queue.next_deadline())
            .fold(soonest.min(now + LOOK_AGAIN), Millis::min)
            .max(self.next_pass)
            .max(now + Millis(1))
    }

    /// Number of requests that wait.
    pub fn waiting_len(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests that were assigned and have not ended.
    pub fn running_len(&self) -> usize {
        self.entries.len() - self.queue.len()
    }

    /// How often a waiting request was looked at: most of what the scheduler does.
    pub const fn looked(&self) -> u64 {
        self.looked
    }

    /// How long requests that don't wait any more did, by reason.
    pub const fn waits(&self) -> &WaitTimes {
        &self.waits
    }

    /// Whether a request was assigned and has not ended.
    pub fn is_running(
        &self,
        ticket: Ticket,
    ) -> bool {
        let request = self.by_ticket.get(&ticket);
        let entry = request.and_then(|request| self.entries.get(request));
        entry.is_some_and(|entry| matches!(entry.stage, Stage::Running { .. }))
    }

    /// Whether an upstream is known and takes no new work.
    pub fn is_leaving(
        &self,
        id: UpstreamId,
    ) -> bool {
        let known = self.fleet.upstreams.get(&id);
        known.is_some_and(|upstream| !upstream.is_ready)
    }

    /// Whether some upstream of the service takes work.
    pub fn has_upstream(
        &self,
        service: ServiceId,
    ) -> bool {
        self.fleet.ready(service).next().is_some()
    }
}
