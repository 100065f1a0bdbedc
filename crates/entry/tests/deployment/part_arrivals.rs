use {
    jasmine_platform_stand_in::{EngineStandIn, PromptArrival},
    std::time::{Duration, Instant},
};

/// Time after the crash from which a part has to be known, in which requests with it may still reach engines.
pub const CONTACT: Duration = Duration::from_secs(3);
/// Crashes under a part after which it has to be known.
pub const MAX_CRASHES: usize = 5;
/// Requests with a part that may reach engines after that.
pub const MAX_LATE: usize = 3;

/// What engines have met of a crashing part.
#[derive(Clone, Debug)]
pub struct PartArrivals {
    /// How often it crashed one.
    pub crashes: usize,
    /// The requests with it that arrived after it had to be known.
    pub late: Vec<PromptArrival>,
}

impl PartArrivals {
    pub fn at(
        engines: &[EngineStandIn],
        part: &str,
    ) -> Self {
        let crashes = engines.iter().flat_map(EngineStandIn::crashes);
        let crashes = crashes.filter(|crash| crash.part.as_deref() == Some(part));
        let mut crashes: Vec<Instant> = crashes.map(|crash| crash.at).collect();
        crashes.sort();
        let due = crashes.get(MAX_CRASHES - 1).map(|&at| at + CONTACT);
        let arrivals = engines.iter().flat_map(EngineStandIn::arrivals);
        let late = arrivals.filter(|arrival| {
            let is_late = due.is_some_and(|due| arrival.at > due);
            is_late && arrival.parts.iter().any(|id| id == part)
        });
        Self {
            crashes: crashes.len(),
            late: late.collect(),
        }
    }
}
