use {
    crate::{clock::ChangeNotifier, engines::EngineReport},
    jasmine_core::{clock::Millis, ids::Fence, placement::Instance},
    std::net::SocketAddr,
};

/// Consecutive missed reports after which an engine is unhealthy.
const MAX_MISSED_REPORTS: u32 = 3;

/// The address and settings of an engine that orders depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineTarget {
    /// Address the engine listens on.
    pub address: SocketAddr,
    /// Maximum number of loaded adapters.
    pub slots: u32,
    /// Whether the engine rejects orders with an older fencing token.
    pub checks_fencing: bool,
}

/// What an engine report changed for gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportChange {
    /// Nothing that gateways see.
    None,
    /// Only the load.
    Load,
    /// The boot id, the health or the number of free slots.
    State,
}

/// The state of an owned engine that gateways are told.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Address and settings for orders.
    pub target: EngineTarget,
    /// Number of this claim, which distinguishes it from later claims of the same engine.
    pub generation: u64,
    /// Fencing token of the current ownership.
    pub fence: Fence,
    /// Latest report, or the default before the first one.
    pub report: EngineReport,
    /// When the latest report arrived.
    pub reported: Millis,
    /// Consecutive reports missed since then.
    pub missed: u32,
    /// Loaded instances that gateways may acquire.
    pub resident: Vec<Instance>,
    /// Sequence number of the latest change visible to gateways, as counted by [`ChangeNotifier`].
    pub last_change: u64,
}

impl EngineState {
    /// Creates the state of a newly claimed engine.
    pub fn new(
        target: EngineTarget,
        generation: u64,
        fence: Fence,
    ) -> Self {
        Self {
            target,
            generation,
            fence,
            report: EngineReport::default(),
            reported: Millis::ZERO,
            missed: 0,
            resident: Vec::new(),
            last_change: 0,
        }
    }

    /// Marks the state as changed; the next raise of `signal` announces the change.
    pub fn note_change(
        &mut self,
        signal: &ChangeNotifier,
    ) {
        self.last_change = signal.seq() + 1;
    }

    /// Records a report, or a missed one for `None`, and returns what changed for gateways.
    pub fn note_report(
        &mut self,
        report: Option<EngineReport>,
        now: Millis,
    ) -> ReportChange {
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
            false => ReportChange::State,
            true if is_same => ReportChange::None,
            true => ReportChange::Load,
        }
    }

    /// Whether the engine has reported recently.
    pub const fn is_healthy(&self) -> bool {
        self.report.boot != 0 && self.missed < MAX_MISSED_REPORTS
    }

    /// Number of adapter slots that are neither occupied nor being loaded into.
    pub fn free_slots(&self) -> u32 {
        let taken = self.report.instances.len() + self.report.loading.len();
        self.target.slots.saturating_sub(taken as u32)
    }
}
