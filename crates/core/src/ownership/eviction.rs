use {
    super::{
        engine_copy::{CopyState, EngineCopy},
        owned_engine::{CopyKey, OwnedEngine},
        owner_machine::KnownGateway,
        settings::OwnerSettings,
    },
    crate::{
        clock::Millis,
        ids::{AdapterVersion, VmId},
    },
    std::collections::BTreeMap,
};

/// Caps the demand of a copy idle for `t` seconds at `IDLE_DEMAND_CAP / t`, so that past demand does not
/// keep unused copies loaded.
const IDLE_DEMAND_CAP: f64 = 60.0;

/// Eviction cost added for each gateway that holds a grant.
const HOLDER_COST: f64 = 0.5;

/// Choice of the copy to evict.
impl OwnedEngine {
    /// The copy with the least eviction cost that may be evicted for `newcomer`.
    ///
    /// A copy of another account that is within its fair share is evicted only if the newcomer's
    /// account is below its own.
    pub(super) fn choose_victim(
        &self,
        newcomer: AdapterVersion,
        known_gateways: &BTreeMap<VmId, KnownGateway>,
        settings: &OwnerSettings,
        now: Millis,
    ) -> Option<CopyKey> {
        let account = self.pending_loads.get(&newcomer).map(|load| load.account);
        let fair = self.fair_slots();
        let candidates: Vec<CopyKey> = self
            .copies
            .iter()
            .filter(|&(&key, copy)| self.can_evict(key, copy, known_gateways, settings, now))
            .map(|(&key, _)| key)
            .collect();
        let cost = |key: &CopyKey| self.eviction_cost(*key, settings, now);
        let cheapest = |keys: &mut dyn Iterator<Item = CopyKey>| {
            keys.min_by(|a, b| cost(a).total_cmp(&cost(b)))
        };
        let unprotected = |key: &CopyKey| {
            let owner = self.copies[key].account;
            owner == account || owner.is_none() || self.slots_used_by(owner) > fair
        };
        let can_evict_others = self.slots_used_by(account) < fair;
        cheapest(&mut candidates.iter().copied().filter(unprotected))
            .or_else(|| can_evict_others.then(|| cheapest(&mut candidates.iter().copied()))?)
    }

    fn can_evict(
        &self,
        key: CopyKey,
        copy: &EngineCopy,
        known_gateways: &BTreeMap<VmId, KnownGateway>,
        settings: &OwnerSettings,
        now: Millis,
    ) -> bool {
        match copy.state {
            CopyState::Resident => {
                self.are_holders_known(key)
                    && now.since(copy.state_since) >= settings.min_residence
                    && !has_silent_holder(copy, known_gateways, settings, now)
            }
            CopyState::Uncertain => self.are_holders_known(key) && copy.grants.is_empty(),
            _ => false,
        }
    }

    /// Whether a newer version of the adapter is loaded or requested on this engine.
    ///
    /// In a rollout all demand moves to the new version, so the old version's past demand must not
    /// keep its slot.
    fn is_superseded(
        &self,
        key: CopyKey,
    ) -> bool {
        let newer = |version: &AdapterVersion| {
            version.adapter == key.0.adapter && version.version > key.0.version
        };
        self.pending_loads.keys().any(newer)
            || self.copies.keys().map(|(version, _)| version).any(newer)
    }

    fn eviction_cost(
        &self,
        key: CopyKey,
        settings: &OwnerSettings,
        now: Millis,
    ) -> f64 {
        let copy = &self.copies[&key];
        let demand = self.demand(key.0, settings, now);
        match copy.state {
            CopyState::Uncertain => -1.0,
            _ if copy.grants.is_empty() && self.is_superseded(key) => 0.0,
            _ if copy.grants.is_empty() => {
                let idle = now.since(copy.last_used).as_secs_f64().max(1.0);
                demand.min(IDLE_DEMAND_CAP / idle)
            }
            _ => demand + HOLDER_COST * copy.grants.len() as f64,
        }
    }
}

pub(super) fn has_silent_holder(
    copy: &EngineCopy,
    known_gateways: &BTreeMap<VmId, KnownGateway>,
    settings: &OwnerSettings,
    now: Millis,
) -> bool {
    copy.grants.keys().any(|holder| {
        known_gateways
            .get(&holder.vm)
            .is_none_or(|known| now.since(known.last_heard) >= settings.gateway_silence_timeout)
    })
}
