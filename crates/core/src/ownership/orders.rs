use {
    super::{
        action::{AcquireOutcome, OwnerAction},
        engine_copy::{CopyState, EngineCopy},
        eviction::has_silent_holder,
        owned_engine::{CopyKey, OwnedEngine},
        owner_machine::{KnownGateway, OwnerMachine, reply},
        pending_load::{LoadStage, PendingLoad},
        settings::OwnerSettings,
    },
    crate::{
        clock::Millis,
        ids::{AccountId, AdapterVersion, UpstreamId, VmId},
    },
    std::collections::BTreeMap,
};

/// How long a queued load is kept after the last request for it.
const QUEUED_LOAD_TIMEOUT: Millis = Millis::from_secs(2);

/// Most loads per budget request, so that one owner does not starve the others.
const MAX_BUDGET_REQUEST: u32 = 16;

impl OwnerMachine {
    /// Replies to requests whose wait has timed out, and drops loads that nobody requests any more.
    pub(super) fn expire_requests(
        &mut self,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        for engine in self.engines.values_mut() {
            for load in engine.pending_loads.values_mut() {
                load.waiters.retain(|waiter| {
                    let over = waiter.until <= now;
                    if over {
                        out.push(reply(waiter.from, waiter.ask, AcquireOutcome::Loading));
                    }
                    !over
                });
            }
            engine.pending_loads.retain(|_, load| {
                load.stage == LoadStage::Loading
                    || !load.waiters.is_empty()
                    || now.since(load.last_requested) < QUEUED_LOAD_TIMEOUT
            });
        }
    }

    /// Emits every order that is due, provided that orders are allowed.
    pub(super) fn emit_orders(
        &mut self,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        if self.has_lease(now) {
            self.revoke_stale_grants(now);
        }
        // A process that was paused past its lease must not act on stale decisions.
        if !self.are_orders_allowed(now) {
            return;
        }
        for engine in self.engines.values_mut() {
            engine.cancel_stuck_recalls(&self.known_gateways, &self.settings, now);
            engine.unload_released(now, out);
            engine.load_into_free_slots(now, out);
            engine.evict_for_waiting_loads(&self.known_gateways, &self.settings, now, out);
        }
        self.spend_budget(now, out);
        self.request_budget(now, out);
    }

    /// Spends the budget on the most urgent loads.
    fn spend_budget(
        &mut self,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        if self.budget == 0 {
            return;
        }
        for (upstream, adapter) in self.queued_by_urgency(now) {
            if self.budget == 0 {
                return;
            }
            let engine = self.engines.get_mut(&upstream).expect("just listed");
            let started =
                engine.start_load(adapter, &self.known_gateways, &self.settings, now, out);
            if started {
                self.budget -= 1;
            }
        }
    }

    /// Queued loads that can start, most urgent first.
    fn queued_by_urgency(
        &self,
        now: Millis,
    ) -> Vec<(UpstreamId, AdapterVersion)> {
        let mut queued: Vec<(f64, UpstreamId, AdapterVersion)> = Vec::new();
        for engine in self.engines.values() {
            for (&adapter, load) in &engine.pending_loads {
                if engine.can_start_load(adapter, load, &self.settings, now) {
                    queued.push((self.urgency_ms(load, now), engine.upstream(), adapter));
                }
            }
        }
        queued.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        queued
            .into_iter()
            .map(|(_, upstream, adapter)| (upstream, adapter))
            .collect()
    }

    /// Urgency of a load, in milliseconds: the longest wait of the accounts that need it.
    fn urgency_ms(
        &self,
        load: &PendingLoad,
        now: Millis,
    ) -> f64 {
        let urgency_of = |account: AccountId, since: Millis| {
            self.waits.mean_ms(account, now) + now.since(since).0 as f64
        };
        load.waiters
            .iter()
            .map(|waiter| urgency_of(waiter.account, load.since))
            .fold(urgency_of(load.account, load.since), f64::max)
    }

    fn request_budget(
        &mut self,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        // The request or its reply may be lost; without a retry no load would start again.
        if now.since(self.budget_requested_at) >= self.settings.budget_retry_delay {
            self.requested_budget = 0;
        }
        let needed = self.queued_by_urgency(now).len() as u32;
        let missing = needed.saturating_sub(self.budget).min(MAX_BUDGET_REQUEST);
        // One request at a time: every granted load reduces what other owners may load.
        if missing > 0 && self.requested_budget == 0 {
            self.requested_budget = missing;
            self.budget_requested_at = now;
            out.push(OwnerAction::RequestBudget(missing));
        }
    }
}

impl OwnedEngine {
    /// Whether a load can start as soon as there is budget for it.
    fn can_start_load(
        &self,
        adapter: AdapterVersion,
        load: &PendingLoad,
        settings: &OwnerSettings,
        now: Millis,
    ) -> bool {
        let key = self.key(adapter);
        let state = self.copies.get(&key).map(|copy| copy.state);
        load.stage == LoadStage::Queued
            && now >= self.loads_paused_until
            && !self.blocked_keys.contains(&key)
            && !self.is_awaiting_reports(settings, now)
            && matches!(state, None | Some(CopyState::Gone | CopyState::Uncertain))
    }

    /// Starts a load in a free slot or evicts a copy for it; `false` if no copy can be evicted.
    fn start_load(
        &mut self,
        adapter: AdapterVersion,
        known_gateways: &BTreeMap<VmId, KnownGateway>,
        settings: &OwnerSettings,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) -> bool {
        let reserved = self.loads_needing_slot();
        let free = (self.ownership.slots.saturating_sub(self.used_slots())) as usize;
        let available_slots = free + self.slots_being_freed();
        let existing = self.copies.get(&self.key(adapter));
        let has_slot = existing.is_some_and(EngineCopy::uses_slot);
        if !has_slot && reserved >= available_slots {
            let Some(victim) = self.choose_victim(adapter, known_gateways, settings, now) else {
                return false;
            };
            self.evict(victim, now, out);
        }
        if let Some(load) = self.pending_loads.get_mut(&adapter) {
            load.stage = LoadStage::NeedsSlot;
        }
        self.load_into_free_slots(now, out);
        true
    }

    /// Evicts another copy if a load still needs a slot after its victim's recall was cancelled.
    fn evict_for_waiting_loads(
        &mut self,
        known_gateways: &BTreeMap<VmId, KnownGateway>,
        settings: &OwnerSettings,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        let free = (self.ownership.slots.saturating_sub(self.used_slots())) as usize;
        if self.loads_needing_slot() <= free + self.slots_being_freed() {
            return;
        }
        let waiting_load = self
            .pending_loads
            .iter()
            .find(|(_, load)| load.stage == LoadStage::NeedsSlot)
            .map(|(&adapter, _)| adapter);
        if let Some(victim) = waiting_load
            .and_then(|adapter| self.choose_victim(adapter, known_gateways, settings, now))
        {
            self.evict(victim, now, out);
        }
    }

    fn evict(
        &mut self,
        victim: CopyKey,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        let instance = self.instance(victim);
        let copy = self.copies.get_mut(&victim).expect("a victim is a copy");
        copy.set_state(CopyState::Recalling, now);
        out.extend(
            copy.grants
                .keys()
                .map(|&holder| OwnerAction::Recall { holder, instance }),
        );
        self.unload_released(now, out);
    }

    /// Orders the unload of recalled copies that all holders have released.
    fn unload_released(
        &mut self,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        let fence = self.ownership.fence;
        let released: Vec<CopyKey> = self
            .copies
            .iter()
            .filter(|(_, copy)| copy.state == CopyState::Recalling && copy.grants.is_empty())
            .map(|(&key, _)| key)
            .filter(|&key| self.are_holders_known(key))
            .collect();
        for key in released {
            let copy = self.copies.get_mut(&key).expect("just listed");
            copy.set_state(CopyState::Unloading, now);
            out.push(OwnerAction::OrderUnload {
                instance: self.instance(key),
                fence,
            });
        }
    }

    fn load_into_free_slots(
        &mut self,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        let waiting: Vec<AdapterVersion> = self
            .pending_loads
            .iter()
            .filter(|(_, load)| load.stage == LoadStage::NeedsSlot)
            .map(|(&adapter, _)| adapter)
            .collect();
        for adapter in waiting {
            let key = self.key(adapter);
            // A pending unload of the same name would remove the newly loaded copy.
            let has_room = match self.copies.get(&key).map(|copy| copy.state) {
                None | Some(CopyState::Gone) => self.has_free_slot(),
                Some(CopyState::Uncertain) => !self.blocked_keys.contains(&key),
                Some(_) => false,
            };
            if !has_room {
                continue;
            }
            let copy = self
                .copies
                .entry(key)
                .or_insert_with(|| EngineCopy::new(CopyState::Loading, now));
            copy.set_state(CopyState::Loading, now);
            let load = self.pending_loads.get_mut(&adapter).expect("just listed");
            load.stage = LoadStage::Loading;
            copy.account = Some(load.account);
            out.push(OwnerAction::OrderLoad {
                instance: self.instance(key),
                fence: self.ownership.fence,
            });
        }
    }

    /// Cancels recalls that a holder does not answer, so that another victim is chosen.
    fn cancel_stuck_recalls(
        &mut self,
        known_gateways: &BTreeMap<VmId, KnownGateway>,
        settings: &OwnerSettings,
        now: Millis,
    ) {
        if self.loads_needing_slot() == 0 {
            return;
        }
        for copy in self.copies.values_mut() {
            let is_stuck = now.since(copy.state_since) >= settings.recall_timeout
                || has_silent_holder(copy, known_gateways, settings, now);
            if copy.state == CopyState::Recalling && !copy.grants.is_empty() && is_stuck {
                copy.set_state(CopyState::Resident, now);
            }
        }
    }
}
