use crate::clock::Millis;

/// Ratio of the strongest VM's processor to the leader's from which a handover is worth its
/// interruption.
const MIN_PROCESSOR_RATIO: u32 = 2;
/// How long a stronger VM must have been registered, with the store answering all the while.
const MIN_STABLE_TIME: Millis = Millis(2_000);

/// Decides when a leader hands leadership to a VM with more processor.
///
/// A weak VM may be elected while the records of stronger ones have lapsed. It can't decide for all
/// VMs in time, and they lose it again and again for as long as it leads.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandoverPolicy {
    stronger_since: Option<Millis>,
}

impl HandoverPolicy {
    /// Returns whether the leader should hand over now.
    ///
    /// `own` and `strongest_other` are shares of a processor in percent; `is_store_available` says
    /// whether the leader's lease was just renewed directly.
    pub fn is_due(
        &mut self,
        own: u32,
        strongest_other: Option<u32>,
        is_store_available: bool,
        now: Millis,
    ) -> bool {
        let is_stronger =
            strongest_other.is_some_and(|other| other > own && other >= own * MIN_PROCESSOR_RATIO);
        if !is_stronger || !is_store_available {
            self.stronger_since = None;
            return false;
        }
        let since = *self.stronger_since.get_or_insert(now);
        now.since(since) >= MIN_STABLE_TIME
    }
}
