use {
    jasmine_core::{clock::Millis, ids::VmId},
    std::collections::BTreeMap,
};

/// Tracks whether the current configuration has recently been confirmed as the newest.
///
/// A withdrawn (revoked) API key must stop working within a bound, also on a VM in a network partition.
/// Responses of the store or of other VMs confirm the configuration; when the last confirmation is older
/// than the bound, new requests are refused with `config_unavailable`.
///
/// A store outage alone must not stop the service, and no edit can be accepted during one. VMs
/// therefore confirm each other, but only by majority: a partitioned minority could miss edits. A
/// configuration is confirmed if, within the bound,
///
/// - the store has confirmed it to any controller that responded to this gateway, or
/// - more than half of the known VMs, including this one, have responded, none with a newer one.
///
/// Consequences:
///
/// - A minority of VMs without store and fleet refuses a withdrawn key after at most the bound. Open
///   streams continue up to their deadline.
/// - With the store down and the VMs connected, the service continues without a time limit.
/// - With the store down, a partitioned minority refuses requests although no edit is possible.
/// - A majority without the store keeps serving and misses edits that a minority with the store
///   accepts. Preventing this would make every store outage stop the service.
#[derive(Clone, Debug, Default)]
pub struct ConfigFreshness {
    store_confirmed_at: Option<Millis>,
    last_responses: BTreeMap<VmId, Millis>,
}

impl ConfigFreshness {
    /// Records a response of a VM's controller at `now`.
    ///
    /// `store_confirmation_age` is the time since the store last confirmed that controller's configuration.
    pub fn record_response(
        &mut self,
        vm: VmId,
        store_confirmation_age: Option<Millis>,
        now: Millis,
    ) {
        self.last_responses.insert(vm, now);
        let confirmed = store_confirmation_age
            .filter(|age| *age <= now)
            .map(|age| now - age);
        self.store_confirmed_at = self.store_confirmed_at.max(confirmed);
    }

    /// Whether the configuration is confirmed at `now` within `bound`, for a fleet of `vms`.
    pub fn is_confirmed<I>(
        &self,
        own: VmId,
        vms: I,
        bound: Millis,
        now: Millis,
    ) -> bool
    where
        I: IntoIterator<Item = VmId>,
    {
        let within = |at: Millis| now.since(at) <= bound;
        if self.store_confirmed_at.is_some_and(within) {
            return true;
        }
        // Without any recent response this gateway can't learn of changes.
        if !self.last_responses.values().any(|&at| within(at)) {
            return false;
        }
        let (heard, all) = vms.into_iter().fold((0, 0), |(heard, all), vm| {
            let counts = vm == own || self.last_responses.get(&vm).is_some_and(|&at| within(at));
            (heard + usize::from(counts), all + 1)
        });
        heard * 2 > all
    }

    /// Whether the store's confirmation is missing or older than `bound`.
    pub fn needs_peer_confirmation(
        &self,
        bound: Millis,
        now: Millis,
    ) -> bool {
        self.store_confirmed_at
            .is_none_or(|at| now.since(at) > bound)
    }

    /// When a VM's controller last responded.
    pub fn last_response_at(
        &self,
        vm: VmId,
    ) -> Option<Millis> {
        self.last_responses.get(&vm).copied()
    }
}
