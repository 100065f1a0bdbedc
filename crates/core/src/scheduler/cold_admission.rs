use {super::admission_share::AdmissionPart, crate::clock::Millis};

/// Window in which the requests sent to a cold upstream are counted: the second of the limit, and
/// the variation of the time from the assignment of a request to its arrival.
pub const COLD_WINDOW: Millis = Millis(1_250);
/// Share of an upstream's limit that the scheduler uses, in percent.
const SCHEDULER_PERCENT: f64 = 60.0;
/// Share of an upstream's limit for all VMs in standalone mode together, in percent; the rest is
/// a margin for late arrivals.
const STANDALONE_PERCENT: f64 = 30.0;

/// How many requests per second a cold upstream of a service takes from all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests in any second beyond which the upstream may crash.
    pub per_second: f64,
    /// How long an upstream is cold after its start.
    pub duration: Millis,
}

impl ColdLimit {
    /// Requests that a scheduler with this part may send in a window.
    pub(super) fn allowed(
        self,
        part: AdmissionPart,
    ) -> usize {
        match part {
            AdmissionPart::Scheduler => self.percent(SCHEDULER_PERCENT).max(1),
            AdmissionPart::Standalone { rank, .. } => {
                usize::from(rank < self.percent(STANDALONE_PERCENT))
            }
            AdmissionPart::None | AdmissionPart::ContendedScheduler => 0,
        }
    }

    /// Requests that a scheduler may send in a window to an upstream that isn't known to be cold, as
    /// it may become cold before its entry says so.
    pub(super) fn unannounced_part(self) -> usize {
        (self.per_second as usize).max(1)
    }

    fn percent(
        self,
        percent: f64,
    ) -> usize {
        (self.per_second * percent / 100.0) as usize
    }
}
