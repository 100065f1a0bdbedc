use {
    super::{
        engine_copy::{CopyState, EngineCopy},
        event::{AcquireRequest, Ownership},
        pending_load::{LoadStage, PendingLoad},
        settings::OwnerSettings,
    },
    crate::{
        clock::Millis,
        decaying_sum::DecayingSum,
        ids::{AccountId, AdapterVersion, Fence, Holder, UpstreamId, VmId},
        placement::Instance,
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Identifies one copy on an engine.
pub(super) type CopyKey = (AdapterVersion, Fence);

/// Retry backoff of an adapter version after failed loads.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backoff {
    pub(super) until: Millis,
    pub(super) pause: Millis,
}

/// State of one engine that this controller owns.
#[derive(Clone, Debug)]
pub(super) struct OwnedEngine {
    pub(super) ownership: Ownership,
    pub(super) gained_at: Millis,
    /// Whether the engine has confirmed that it refuses older fencing tokens.
    pub(super) is_fence_raised: bool,
    pub(super) boot: Option<u64>,
    /// VMs whose gateway has not yet reported its grants under the current fencing token.
    pub(super) unreported_vms: BTreeSet<VmId>,
    pub(super) copies: BTreeMap<CopyKey, EngineCopy>,
    pub(super) pending_loads: BTreeMap<AdapterVersion, PendingLoad>,
    pub(super) backoffs: BTreeMap<AdapterVersion, Backoff>,
    pub(super) demand: HashMap<AdapterVersion, DecayingSum>,
    /// Copies with an unload of unknown outcome; their names must not be loaded again.
    pub(super) blocked_keys: BTreeSet<CopyKey>,
    /// Recently unloaded copies and when; a lagging report may still list them.
    pub(super) recently_unloaded: BTreeMap<CopyKey, Millis>,
    /// No load starts before this time: the engine reported no free slot.
    pub(super) loads_paused_until: Millis,
}

impl OwnedEngine {
    pub(super) fn new(
        ownership: Ownership,
        members: &BTreeSet<VmId>,
        now: Millis,
    ) -> Self {
        Self {
            ownership,
            gained_at: now,
            is_fence_raised: false,
            boot: None,
            unreported_vms: members.clone(),
            copies: BTreeMap::new(),
            pending_loads: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            demand: HashMap::new(),
            blocked_keys: BTreeSet::new(),
            recently_unloaded: BTreeMap::new(),
            loads_paused_until: Millis::ZERO,
        }
    }

    pub(super) fn upstream(&self) -> UpstreamId {
        self.ownership.upstream
    }

    /// The key of a copy that would be loaded under the current fencing token.
    pub(super) fn key(
        &self,
        adapter: AdapterVersion,
    ) -> CopyKey {
        (adapter, self.ownership.fence)
    }

    pub(super) fn instance(
        &self,
        key: CopyKey,
    ) -> Instance {
        Instance {
            upstream: self.ownership.upstream,
            adapter: key.0,
            fence: key.1,
        }
    }

    pub(super) fn has_state(
        &self,
        key: CopyKey,
        state: CopyState,
    ) -> bool {
        self.copies
            .get(&key)
            .is_some_and(|copy| copy.state == state)
    }

    /// The newest copy of the adapter in the given state.
    pub(super) fn find(
        &self,
        adapter: AdapterVersion,
        state: CopyState,
    ) -> Option<CopyKey> {
        self.copies_of(adapter)
            .rev()
            .find(|(_, copy)| copy.state == state)
            .map(|(&key, _)| key)
    }

    fn copies_of(
        &self,
        adapter: AdapterVersion,
    ) -> impl DoubleEndedIterator<Item = (&CopyKey, &EngineCopy)> {
        self.copies
            .range((adapter, Fence::default())..=(adapter, Fence(u64::MAX)))
    }

    pub(super) fn used_slots(&self) -> u32 {
        let used = self.copies.values().filter(|copy| copy.uses_slot());
        used.count() as u32
    }

    /// Whether the engine has a slot that no copy uses.
    pub(super) fn has_free_slot(&self) -> bool {
        self.used_slots() < self.ownership.slots
    }

    /// Number of copies being recalled or unloaded, each of which frees one slot.
    pub(super) fn slots_being_freed(&self) -> usize {
        let is_leaving =
            |copy: &&EngineCopy| matches!(copy.state, CopyState::Recalling | CopyState::Unloading);
        self.copies.values().filter(is_leaving).count()
    }

    /// Number of loads that have budget and no slot.
    pub(super) fn loads_needing_slot(&self) -> usize {
        let has_no_slot = |load: &&PendingLoad| load.stage == LoadStage::NeedsSlot;
        self.pending_loads.values().filter(has_no_slot).count()
    }

    /// Whether all holders of this copy are known, so that it can be unloaded once they release it.
    ///
    /// A copy of a former owner may be held by a gateway that has not reported yet.
    pub(super) fn are_holders_known(
        &self,
        key: CopyKey,
    ) -> bool {
        key.1 == self.ownership.fence || self.unreported_vms.is_empty()
    }

    /// Whether gateways may still report copies that are already loaded.
    pub(super) fn is_awaiting_reports(
        &self,
        settings: &OwnerSettings,
        now: Millis,
    ) -> bool {
        !self.unreported_vms.is_empty() && now < self.gained_at + settings.report_timeout
    }

    pub(super) fn backoff_left(
        &self,
        adapter: AdapterVersion,
        now: Millis,
    ) -> Option<Millis> {
        self.backoffs
            .get(&adapter)
            .filter(|backoff| now < backoff.until)
            .map(|backoff| backoff.until.since(now))
    }

    pub(super) fn record_load_failure(
        &mut self,
        adapter: AdapterVersion,
        settings: &OwnerSettings,
        now: Millis,
    ) -> Millis {
        let pause = self
            .backoffs
            .get(&adapter)
            .map_or(settings.initial_backoff, |last| {
                Millis(last.pause.0 * 2).min(settings.max_backoff)
            });
        let until = now + pause;
        self.backoffs.insert(adapter, Backoff { until, pause });
        pause
    }

    pub(super) fn demand(
        &self,
        adapter: AdapterVersion,
        settings: &OwnerSettings,
        now: Millis,
    ) -> f64 {
        self.demand
            .get(&adapter)
            .map_or(0.0, |sum| sum.get(now, settings.demand_half_life))
    }

    /// Whether a request is demand that was not counted yet.
    ///
    /// Retries by a gateway that waits for a load don't count, so that slow loads don't inflate demand.
    pub(super) fn is_new_demand(
        &self,
        ask: &AcquireRequest,
    ) -> bool {
        self.pending_loads
            .get(&ask.adapter)
            .is_none_or(|load| !load.requesters.contains(&ask.from.vm))
    }

    pub(super) fn record_demand(
        &mut self,
        adapter: AdapterVersion,
        amount: f64,
        settings: &OwnerSettings,
        now: Millis,
    ) {
        self.demand
            .entry(adapter)
            .or_default()
            .add(amount, now, settings.demand_half_life);
    }

    /// Fair share of slots for each client account on this engine.
    pub(super) fn fair_slots(&self) -> u32 {
        let mut accounts: Vec<AccountId> = self
            .copies
            .values()
            .filter_map(|copy| copy.account)
            .chain(self.pending_loads.values().map(|load| load.account))
            .collect();
        accounts.sort_unstable();
        accounts.dedup();
        (self.ownership.slots / accounts.len().max(1) as u32).max(1)
    }

    pub(super) fn slots_used_by(
        &self,
        account: Option<AccountId>,
    ) -> u32 {
        let is_of_account = |copy: &&EngineCopy| copy.uses_slot() && copy.account == account;
        self.copies.values().filter(is_of_account).count() as u32
    }

    /// Whether the holders of this copy must release it.
    ///
    /// Holders keep an uncertain copy until all gateways have reported, since one of them may confirm
    /// that it is loaded.
    pub(super) fn is_recalled(
        &self,
        key: CopyKey,
        copy: &EngineCopy,
    ) -> bool {
        match copy.state {
            CopyState::Recalling | CopyState::Gone => true,
            CopyState::Uncertain => {
                self.unreported_vms.is_empty() || self.blocked_keys.contains(&key)
            }
            CopyState::Loading | CopyState::Resident | CopyState::Unloading => false,
        }
    }

    /// Removes the grants that `should_revoke` selects, and copies that are gone and have no grants.
    pub(super) fn remove_grants<F>(
        &mut self,
        now: Millis,
        mut should_revoke: F,
    ) where
        F: FnMut(CopyKey, &Holder, u64) -> bool,
    {
        for (&key, copy) in &mut self.copies {
            let before = copy.grants.len();
            copy.grants
                .retain(|holder, &mut ask| !should_revoke(key, holder, ask));
            if copy.grants.len() < before {
                copy.last_used = now;
            }
        }
        self.copies
            .retain(|_, copy| copy.uses_slot() || !copy.grants.is_empty());
    }

    /// Marks the copy as gone from the engine; it is removed once it has no grants.
    pub(super) fn mark_gone(
        &mut self,
        key: CopyKey,
        now: Millis,
    ) {
        if let Some(copy) = self.copies.get_mut(&key) {
            copy.set_state(CopyState::Gone, now);
            if copy.grants.is_empty() {
                self.copies.remove(&key);
            }
        }
    }
}
