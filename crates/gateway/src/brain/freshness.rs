use {
    jasmine_core::{clock::Millis, ids::VmId},
    std::collections::BTreeMap,
};

/// Whether the configuration in force can still be trusted to be the newest.
///
/// A key that operators withdraw has to stop working within seconds, also at a VM that has lost touch.
/// Such a VM sees nothing of the withdrawal, so what it has to notice is its own silence: each answer
/// of the store or of other VMs confirms the configuration as of that moment, and when the last
/// confirmation is older than the bound, new requests are refused with `config_unavailable`.
///
/// While the store is down nobody can be confirmed by it, and nobody can accept an edit either: an edit is
/// a transaction in the store. Refusing everything then would turn each outage of the store into one of
/// ours. So VMs confirm each other, but not just any other: the VMs of a data centre that is cut off
/// together would vouch for one another while the rest of the fleet moves on. A configuration counts as
/// confirmed when, within the bound,
///
/// - the store has confirmed it, seen by the own controller or through any other one, or
/// - more than half of the known VMs, this one included, have been heard and none had a newer one.
///
/// What that gives, with the default bound of 10 s:
///
/// - One VM, or a minority of VMs, cut off from store and fleet: a withdrawn key is refused there after at
///   most the bound; open streams end with their deadline at the latest, since cutting every caller's whole answer
///   for the sake of one possible key is the worse fault.
/// - Store down, VMs in touch: the service goes on, for however long that lasts.
/// - Store down and a minority cut off as well: the minority refuses although nothing can have changed.
///   It can't tell this from the first case.
/// - A majority cut off from a store that a minority still reaches: the majority goes on with
///   what it has and doesn't see edits accepted on the other side. This is the case that stays open; to close
///   it, an outage of the store would have to stop the service.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    by_store: Option<Millis>,
    heard: BTreeMap<VmId, Millis>,
}

impl Freshness {
    /// Notes an answer of another VM's controller, or of the own one, at `now`; `fresh` is how long
    /// ago the store had confirmed the configuration there.
    pub fn heard(
        &mut self,
        vm: VmId,
        fresh: Option<Millis>,
        now: Millis,
    ) {
        self.heard.insert(vm, now);
        let confirmed = fresh.filter(|fresh| *fresh <= now).map(|fresh| now - fresh);
        self.by_store = self.by_store.max(confirmed);
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
        if self.by_store.is_some_and(within) {
            return true;
        }
        // Without any controller that answers, this gateway learns of nothing at all.
        if !self.heard.values().any(|&at| within(at)) {
            return false;
        }
        let (heard, all) = vms.into_iter().fold((0, 0), |(heard, all), vm| {
            let counts = vm == own || self.heard.get(&vm).is_some_and(|&at| within(at));
            (heard + usize::from(counts), all + 1)
        });
        heard * 2 > all
    }

    /// Whether the store's own word is older than `bound`, so that others have to be asked.
    pub fn needs_peers(
        &self,
        bound: Millis,
        now: Millis,
    ) -> bool {
        self.by_store.is_none_or(|at| now.since(at) > bound)
    }

    /// When a VM was last heard.
    pub fn last_heard(
        &self,
        vm: VmId,
    ) -> Option<Millis> {
        self.heard.get(&vm).copied()
    }
}
