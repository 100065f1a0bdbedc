use {
    super::{
        action::{AcquireOutcome, OwnerAction},
        engine_copy::{CopyState, EngineCopy},
        owned_engine::{CopyKey, OwnedEngine},
        owner_machine::{OwnerMachine, Witness, reply},
        settings::OwnerSettings,
        victim::has_silent_holder,
        wanted::{Stage, Wanted},
    },
    crate::{
        clock::Millis,
        ids::{AccountId, AdapterVersion, UpstreamId, VmId},
    },
    std::collections::BTreeMap,
};

/// How long a queued load is kept after the last request for it.
const INTEREST: Millis = Millis::from_secs(2);

/// Most loads per budget request, so that one owner does not starve the others.
const MAX_ASKED: u32 = 16;

impl OwnerMachine {
    /// Replies to requests whose wait has timed out, and drops loads that nobody requests any more.
    pub(super) fn expire(
        &mut self,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        for engine in self.engines.values_mut() {
            for wanted in engine.wanted.values_mut() {
                wanted.waiters.retain(|waiter| {
                    let over = waiter.until <= now;
                    if over {
                        out.push(reply(waiter.from, waiter.ask, AcquireOutcome::Loading));
                    }
                    !over
                });
            }
            engine.wanted.retain(|_, wanted| {
                wanted.stage == Stage::Loading
                    || !wanted.waiters.is_empty()
                    || now.since(wanted.asked) < INTEREST
            });
        }
    }

    /// Emits every order that is due, provided that orders are allowed.
    pub(super) fn order(
        &mut self,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        if self.has_lease(now) {
            self.void_replaced(now);
        }
        // A process that was paused past its lease must not act on stale decisions.
        if !self.orders_allowed(now) {
            return;
        }
        for engine in self.engines.values_mut() {
            engine.give_up_stuck_recalls(&self.witnesses, &self.settings, now);
            engine.unload_released(now, out);
            engine.load_into_free_slots(now, out);
            engine.vacate(&self.witnesses, &self.settings, now, out);
        }
        self.spend_budget(now, out);
        self.ask_budget(now, out);
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
        for (upstream, adapter) in self.queued_by_rank(now) {
            if self.budget == 0 {
                return;
            }
            let engine = self.engines.get_mut(&upstream).expect("just listed");
            let started = engine.start(adapter, &self.witnesses, &self.settings, now, out);
            if started {
                self.budget -= 1;
            }
        }
    }

    /// Queued loads that can start, most urgent first.
    fn queued_by_rank(
        &self,
        now: Millis,
    ) -> Vec<(UpstreamId, AdapterVersion)> {
        let mut queued: Vec<(f64, UpstreamId, AdapterVersion)> = Vec::new();
        for engine in self.engines.values() {
            for (&adapter, wanted) in &engine.wanted {
                if engine.is_due(adapter, wanted, &self.settings, now) {
                    queued.push((self.rank(wanted, now), engine.upstream(), adapter));
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
    fn rank(
        &self,
        wanted: &Wanted,
        now: Millis,
    ) -> f64 {
        let rank_of = |account: AccountId, since: Millis| {
            self.waits.mean_ms(account, now) + now.since(since).0 as f64
        };
        wanted
            .waiters
            .iter()
            .map(|waiter| rank_of(waiter.account, wanted.since))
            .fold(rank_of(wanted.account, wanted.since), f64::max)
    }

    fn ask_budget(
        &mut self,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        // The request or its reply may be lost; without a retry no load would start again.
        if now.since(self.budget_asked_at) >= self.settings.budget_retry {
            self.budget_asked = 0;
        }
        let needed = self.queued_by_rank(now).len() as u32;
        let missing = needed.saturating_sub(self.budget).min(MAX_ASKED);
        // One request at a time: every granted load reduces what other owners may load.
        if missing > 0 && self.budget_asked == 0 {
            self.budget_asked = missing;
            self.budget_asked_at = now;
            out.push(OwnerAction::AskBudget(missing));
        }
    }
}

impl OwnedEngine {
    /// Whether a load can start as soon as there is budget for it.
    fn is_due(
        &self,
        adapter: AdapterVersion,
        wanted: &Wanted,
        settings: &OwnerSettings,
        now: Millis,
    ) -> bool {
        let key = self.key(adapter);
        let state = self.copies.get(&key).map(|copy| copy.state);
        wanted.stage == Stage::Queued
            && now >= self.paused_until
            && !self.burnt.contains(&key)
            && !self.is_gathering(settings, now)
            && matches!(state, None | Some(CopyState::Gone | CopyState::Doubtful))
    }

    /// Starts a load in a free slot or evicts a copy for it; `false` if no copy can be evicted.
    fn start(
        &mut self,
        adapter: AdapterVersion,
        witnesses: &BTreeMap<VmId, Witness>,
        settings: &OwnerSettings,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) -> bool {
        let reserved = self.needing_slot();
        let free = (self.own.slots.saturating_sub(self.used_slots())) as usize;
        let room_coming = free + self.vacating();
        let own = self.copies.get(&self.key(adapter));
        let is_there = own.is_some_and(EngineCopy::takes_slot);
        if !is_there && reserved >= room_coming {
            let Some(victim) = self.victim(adapter, witnesses, settings, now) else {
                return false;
            };
            self.evict(victim, now, out);
        }
        if let Some(wanted) = self.wanted.get_mut(&adapter) {
            wanted.stage = Stage::NeedsSlot;
        }
        self.load_into_free_slots(now, out);
        true
    }

    /// Evicts another copy if a load still needs a slot after its victim's recall was cancelled.
    fn vacate(
        &mut self,
        witnesses: &BTreeMap<VmId, Witness>,
        settings: &OwnerSettings,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        let free = (self.own.slots.saturating_sub(self.used_slots())) as usize;
        if self.needing_slot() <= free + self.vacating() {
            return;
        }
        let needy = self
            .wanted
            .iter()
            .find(|(_, wanted)| wanted.stage == Stage::NeedsSlot)
            .map(|(&adapter, _)| adapter);
        if let Some(victim) =
            needy.and_then(|adapter| self.victim(adapter, witnesses, settings, now))
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
        copy.enter(CopyState::Recalling, now);
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
        let fence = self.own.fence;
        let released: Vec<CopyKey> = self
            .copies
            .iter()
            .filter(|(_, copy)| copy.state == CopyState::Recalling && copy.grants.is_empty())
            .map(|(&key, _)| key)
            .filter(|&key| self.words_known(key))
            .collect();
        for key in released {
            let copy = self.copies.get_mut(&key).expect("just listed");
            copy.enter(CopyState::Unloading, now);
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
            .wanted
            .iter()
            .filter(|(_, wanted)| wanted.stage == Stage::NeedsSlot)
            .map(|(&adapter, _)| adapter)
            .collect();
        for adapter in waiting {
            let key = self.key(adapter);
            // A pending unload of the same name would remove the newly loaded copy.
            let has_room = match self.copies.get(&key).map(|copy| copy.state) {
                None | Some(CopyState::Gone) => self.has_free_slot(),
                Some(CopyState::Doubtful) => !self.burnt.contains(&key),
                Some(_) => false,
            };
            if !has_room {
                continue;
            }
            let copy = self
                .copies
                .entry(key)
                .or_insert_with(|| EngineCopy::new(CopyState::Loading, now));
            copy.enter(CopyState::Loading, now);
            let wanted = self.wanted.get_mut(&adapter).expect("just listed");
            wanted.stage = Stage::Loading;
            copy.account = Some(wanted.account);
            out.push(OwnerAction::OrderLoad {
                instance: self.instance(key),
                fence: self.own.fence,
            });
        }
    }

    /// Cancels recalls that a holder does not answer, so that another victim is chosen.
    fn give_up_stuck_recalls(
        &mut self,
        witnesses: &BTreeMap<VmId, Witness>,
        settings: &OwnerSettings,
        now: Millis,
    ) {
        if self.needing_slot() == 0 {
            return;
        }
        for copy in self.copies.values_mut() {
            let is_stuck = now.since(copy.since) >= settings.recall_patience
                || has_silent_holder(copy, witnesses, settings, now);
            if copy.state == CopyState::Recalling && !copy.grants.is_empty() && is_stuck {
                copy.enter(CopyState::Resident, now);
            }
        }
    }
}
