use {
    crate::{clock::Signal, engines::EngineReport},
    jasmine_core::{clock::Millis, ids::Fence, placement::Instance},
    std::net::SocketAddr,
};

/// Reports that may be missed in a row before an engine counts as not healthy.
const MISSED_REPORTS: u32 = 3;

/// What orders have to know of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTarget {
    /// Where it listens.
    pub address: SocketAddr,
    /// Adapters it holds at a time.
    pub slots: u32,
    /// Whether it refuses old fencing tokens.
    pub checks_fencing: bool,
}

/// How urgent what an engine's report tells is to gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Nothing they would see.
    None,
    /// Its load alone.
    Load,
    /// Whether it can be used, or its free slots.
    State,
}

/// An owned engine as gateways see it.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Where and how it takes orders.
    pub target: EngineTarget,
    /// Counts the engines that this controller has gained, to tell this gain from a later one.
    pub gained: u64,
    /// The fencing token under which it is owned.
    pub fence: Fence,
    /// Its newest report.
    pub report: EngineReport,
    /// When that came.
    pub reported: Millis,
    /// Reports missed since then.
    pub missed: u32,
    /// The instances that gateways may ask for.
    pub resident: Vec<Instance>,
    /// The number of the newest change of what gateways see of it, as [`Signal`] counts.
    pub change: u64,
}

impl EngineState {
    /// An engine that has just come to this controller.
    pub fn new(
        target: EngineTarget,
        gained: u64,
        fence: Fence,
    ) -> Self {
        Self {
            target,
            gained,
            fence,
            report: EngineReport::default(),
            reported: Millis::ZERO,
            missed: 0,
            resident: Vec::new(),
            change: 0,
        }
    }

    /// Numbers a change, which the next raise of the signal makes known.
    pub fn note_change(
        &mut self,
        signal: &Signal,
    ) {
        self.change = signal.seq() + 1;
    }

    /// Takes a report, or notes that one was missed: what is new to gateways.
    pub fn note_report(
        &mut self,
        report: Option<EngineReport>,
        now: Millis,
    ) -> News {
        let before = (self.report.boot, self.is_healthy(), self.free_slots());
        let is_same = report.as_ref().is_none_or(|report| self.report == *report);
        if let Some(report) = report {
            self.missed = 0;
            self.reported = now;
            self.report = report;
        } else {
            self.missed += 1;
        }
        match before == (self.report.boot, self.is_healthy(), self.free_slots()) {
            false => News::State,
            true if is_same => News::None,
            true => News::Load,
        }
    }

    /// Whether it has reported lately.
    pub const fn is_healthy(&self) -> bool {
        self.report.boot != 0 && self.missed < MISSED_REPORTS
    }

    /// Adapter slots that are neither taken nor promised to a load under way.
    pub fn free_slots(&self) -> u32 {
        let taken = self.report.instances.len() + self.report.loading.len();
        self.target.slots.saturating_sub(taken as u32)
    }
}
