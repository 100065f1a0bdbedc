use {
    crate::engines::EngineReport,
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
