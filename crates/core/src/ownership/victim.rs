use {
    super::{
        engine_copy::{CopyState, EngineCopy},
        owned_engine::{CopyKey, OwnedEngine},
        owner_machine::Witness,
        settings::OwnerSettings,
    },
    crate::{
        clock::Millis,
        ids::{AdapterVersion, VmId},
    },
    std::collections::BTreeMap,
};

/// Caps the demand of a copy idle for `t` seconds at `IDLE_CAP / t`, so that past demand does not
/// keep unused copies loaded.
const IDLE_CAP: f64 = 60.0;

/// Eviction cost added for each gateway that holds a grant.
const HELD_BONUS: f64 = 0.5;

/// Choice of the copy to evict.
impl OwnedEngine {
    /// The copy with the least eviction cost that may be evicted for `newcomer`.
    ///
    /// A copy of another account that is within its fair share is evicted only if the newcomer's
    /// account is below its own.
    pub(super) fn victim(
        &self,
        newcomer: AdapterVersion,
        witnesses: &BTreeMap<VmId, Witness>,
        settings: &OwnerSettings,
        now: Millis,
    ) -> Option<CopyKey> {
        let account = self.wanted.get(&newcomer).map(|wanted| wanted.account);
        let fair = self.fair_slots();
        let candidates: Vec<CopyKey> = self
            .copies
            .iter()
            .filter(|&(&key, copy)| self.may_go(key, copy, witnesses, settings, now))
            .map(|(&key, _)| key)
            .collect();
        let cost = |key: &CopyKey| self.cost_of_loss(*key, settings, now);
        let cheapest = |keys: &mut dyn Iterator<Item = CopyKey>| {
            keys.min_by(|a, b| cost(a).total_cmp(&cost(b)))
        };
        let unprotected = |key: &CopyKey| {
            let owner = self.copies[key].account;
            owner == account || owner.is_none() || self.slots_of(owner) > fair
        };
        let may_press_others = self.slots_of(account) < fair;
        cheapest(&mut candidates.iter().copied().filter(unprotected))
            .or_else(|| may_press_others.then(|| cheapest(&mut candidates.iter().copied()))?)
    }

    fn may_go(
        &self,
        key: CopyKey,
        copy: &EngineCopy,
        witnesses: &BTreeMap<VmId, Witness>,
        settings: &OwnerSettings,
        now: Millis,
    ) -> bool {
        match copy.state {
            CopyState::Resident => {
                self.words_known(key)
                    && now.since(copy.since) >= settings.min_residence
                    && !has_silent_holder(copy, witnesses, settings, now)
            }
            CopyState::Doubtful => self.words_known(key) && copy.grants.is_empty(),
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
        self.wanted.keys().any(newer) || self.copies.keys().map(|(version, _)| version).any(newer)
    }

    fn cost_of_loss(
        &self,
        key: CopyKey,
        settings: &OwnerSettings,
        now: Millis,
    ) -> f64 {
        let copy = &self.copies[&key];
        let demand = self.demand(key.0, settings, now);
        match copy.state {
            CopyState::Doubtful => -1.0,
            _ if copy.grants.is_empty() && self.is_superseded(key) => 0.0,
            _ if copy.grants.is_empty() => {
                let idle = now.since(copy.used).as_secs_f64().max(1.0);
                demand.min(IDLE_CAP / idle)
            }
            _ => demand + HELD_BONUS * copy.grants.len() as f64,
        }
    }
}

pub(super) fn has_silent_holder(
    copy: &EngineCopy,
    witnesses: &BTreeMap<VmId, Witness>,
    settings: &OwnerSettings,
    now: Millis,
) -> bool {
    copy.grants.keys().any(|holder| {
        witnesses
            .get(&holder.vm)
            .is_none_or(|witness| now.since(witness.heard) >= settings.silent_after)
    })
}
