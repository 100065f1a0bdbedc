use crate::{clock::Millis, placement::rendezvous_hash};

/// Which part of the limits of upstreams over all VMs a scheduler may use.
///
/// The parts of all schedulers add up to less than a limit, whoever is cut off from whom.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AdmissionShare {
    /// None, as the other VMs are not known yet.
    #[default]
    None,
    /// The part of the elected scheduler.
    Scheduler {
        /// When it took over from another one, if it did.
        took_over_at: Option<Millis>,
        /// When its lease ends.
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

/// The part of one upstream's limit that a scheduler may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionPart {
    /// None.
    None,
    /// That of the only scheduler.
    Scheduler,
    /// That of a scheduler beside which another one may send requests, or has sent some in the
    /// window of the limit.
    ContendedScheduler,
    /// That of one of `vms` VMs in standalone mode, which come in another order for each upstream.
    Standalone { rank: usize, vms: usize },
}

impl AdmissionPart {
    /// This part of a whole that VMs in standalone mode divide among them.
    pub(crate) fn share_of(
        self,
        whole: usize,
    ) -> usize {
        match self {
            Self::None => 0,
            Self::Scheduler | Self::ContendedScheduler => whole,
            Self::Standalone { rank, vms } => {
                whole / vms.max(1) + usize::from(rank < whole % vms.max(1))
            }
        }
    }
}

impl AdmissionShare {
    /// The part for an upstream whose limit is counted in `window`; `upstream` is a hash of its id
    /// that is the same on all VMs.
    pub(super) fn part(
        &self,
        upstream: u64,
        window: Millis,
        now: Millis,
    ) -> AdmissionPart {
        match self {
            Self::Scheduler {
                took_over_at,
                lease_until,
            } if took_over_at.is_none_or(|at| now >= at + window) && now < *lease_until => {
                AdmissionPart::Scheduler
            }
            Self::Scheduler { .. } => AdmissionPart::ContendedScheduler,
            Self::Standalone { me, vms } if vms.contains(me) => {
                let rank = rendezvous_hash(upstream, *me);
                let before = vms
                    .iter()
                    .filter(|&&vm| rendezvous_hash(upstream, vm) > rank);
                AdmissionPart::Standalone {
                    rank: before.count(),
                    vms: vms.len(),
                }
            }
            Self::None | Self::Standalone { .. } => AdmissionPart::None,
        }
    }
}
