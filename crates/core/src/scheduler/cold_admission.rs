use {
    crate::{clock::Millis, placement::rendezvous_hash},
    std::collections::VecDeque,
};

/// Window in which the requests sent to a cold upstream are counted: the second of the limit, and
/// the variation of the time from the assignment of a request to its arrival.
pub const ADMISSION_WINDOW: Millis = Millis(1_250);
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
    /// Requests that the scheduler may send in a window; at least one.
    fn scheduler_part(self) -> usize {
        ((self.per_second * SCHEDULER_PERCENT / 100.0) as usize).max(1)
    }

    /// Requests that a scheduler may send in a window to an upstream that isn't known to be cold, as
    /// it may become cold before its entry says so.
    pub(super) fn unannounced_part(self) -> usize {
        (self.per_second as usize).max(1)
    }

    /// Number of VMs that may send one request in a window in standalone mode.
    pub(super) fn standalone_part(self) -> usize {
        (self.per_second * STANDALONE_PERCENT / 100.0) as usize
    }
}

/// Which part of the admissions to cold upstreams a scheduler may use.
///
/// The parts of all schedulers add up to less than the limit, whoever is cut off from whom.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ColdShare {
    /// None, as the other VMs are not known yet.
    #[default]
    None,
    /// The part of the elected scheduler, while its lease is valid.
    Scheduler {
        /// When the part of an earlier scheduler has left the window.
        usable_from: Millis,
        /// When the lease ends.
        lease_until: Millis,
    },
    /// The part of one VM in standalone mode.
    Standalone {
        /// Stable hash of this VM's name.
        me: u64,
        /// Stable hashes of the names of all VMs, this one included.
        vms: Vec<u64>,
    },
}

impl ColdShare {
    /// Requests that this scheduler may send to a cold upstream in a window; `upstream` is a hash
    /// of its id that is the same on all VMs.
    pub(super) fn allowed(
        &self,
        limit: ColdLimit,
        upstream: u64,
        now: Millis,
    ) -> usize {
        match self {
            Self::Scheduler {
                usable_from,
                lease_until,
            } if *usable_from <= now && now < *lease_until => limit.scheduler_part(),
            Self::Standalone { me, vms } if vms.contains(me) => {
                let rank = rendezvous_hash(upstream, *me);
                let before = vms
                    .iter()
                    .filter(|&&vm| rendezvous_hash(upstream, vm) > rank)
                    .count();
                usize::from(before < limit.standalone_part())
            }
            Self::None | Self::Scheduler { .. } | Self::Standalone { .. } => 0,
        }
    }
}

/// The requests sent to one upstream in the last window.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionLog {
    sent: VecDeque<Millis>,
}

impl AdmissionLog {
    /// Records a request.
    pub(super) fn note(
        &mut self,
        now: Millis,
    ) {
        while self
            .sent
            .front()
            .is_some_and(|&at| now >= at + ADMISSION_WINDOW)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// How long until fewer than `allowed` requests are in the window; `None` if none is allowed.
    pub(super) fn wait(
        &self,
        allowed: usize,
        now: Millis,
    ) -> Option<Millis> {
        let oldest_excess = self.sent.len().checked_sub(allowed);
        match oldest_excess {
            _ if allowed == 0 => None,
            None => Some(Millis::ZERO),
            Some(at) => Some((self.sent[at] + ADMISSION_WINDOW).since(now)),
        }
    }
}
