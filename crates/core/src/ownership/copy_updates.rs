use {
    super::{
        engine_copy::{CopyState, EngineCopy},
        event::Report,
        owned_engine::{CopyKey, OwnedEngine},
        settings::OwnerSettings,
    },
    crate::{clock::Millis, ids::Holder, placement::Instance},
};

/// Decayed demand below this is dropped.
const MIN_DEMAND: f64 = 0.01;

/// Applies gateway polls and engine reports to the loaded adapter versions of an engine.
impl OwnedEngine {
    /// Records that a gateway holds a grant for an instance.
    ///
    /// `has_seen_fence`: the gateway has seen the current token and sends no releases to a former owner. Only
    /// then can a delayed order of a former owner no longer unload the instance.
    pub(super) fn record_grant(
        &mut self,
        from: Holder,
        instance: Instance,
        has_seen_fence: bool,
        now: Millis,
    ) {
        let key = (instance.adapter, instance.fence);
        let is_former = instance.fence < self.ownership.fence;
        if is_former && !self.recently_unloaded.contains_key(&key) {
            self.copies
                .entry(key)
                .or_insert_with(|| EngineCopy::new(CopyState::Uncertain, now));
        }
        let is_blocked = self.blocked_keys.contains(&key);
        let Some(copy) = self.copies.get_mut(&key) else {
            return;
        };
        match copy.state {
            // The unload was ordered after all releases, so this poll predates the last one.
            CopyState::Unloading => return,
            CopyState::Uncertain if has_seen_fence && is_former && !is_blocked => {
                copy.set_state(CopyState::Resident, now);
            }
            _ => {}
        }
        copy.grants.entry(from).or_insert(0);
    }

    /// Updates the copies from a report of the engine.
    pub(super) fn apply_report(
        &mut self,
        report: &Report,
        settings: &OwnerSettings,
        now: Millis,
    ) {
        self.ownership.slots = report.slots;
        if self.boot.is_some_and(|boot| boot != report.boot) {
            self.mark_all_gone(now);
        }
        self.boot = Some(report.boot);
        self.demand
            .retain(|_, sum| sum.get(now, settings.demand_half_life) > MIN_DEMAND);
        self.recently_unloaded
            .retain(|_, &mut at| now.since(at) < settings.max_report_lag);
        for instance in &report.instances {
            self.record_reported_copy((instance.adapter, instance.fence), now);
        }
        self.mark_missing_gone(report, settings, now);
    }

    /// Marks all copies as gone after a restart of the engine.
    ///
    /// Copies with a pending order are kept: an unload that arrives after the restart would remove a
    /// copy loaded again under the same name.
    fn mark_all_gone(
        &mut self,
        now: Millis,
    ) {
        let lost: Vec<CopyKey> = self
            .copies
            .iter()
            .filter(|(_, copy)| !copy.has_pending_order())
            .map(|(&key, _)| key)
            .collect();
        for key in lost {
            self.mark_gone(key, now);
        }
    }

    fn record_reported_copy(
        &mut self,
        key: CopyKey,
        now: Millis,
    ) {
        if key.1 > self.ownership.fence || self.recently_unloaded.contains_key(&key) {
            return;
        }
        // If the engine refuses older tokens, no former owner can unload the instance.
        let state = if self.is_fence_raised && key.1 < self.ownership.fence {
            CopyState::Resident
        } else {
            CopyState::Uncertain
        };
        let copy = self
            .copies
            .entry(key)
            .or_insert_with(|| EngineCopy::new(state, now));
        if copy.state == CopyState::Uncertain && !self.blocked_keys.contains(&key) {
            copy.set_state(state, now);
        }
    }

    /// Marks copies as gone that have been missing from reports for longer than the report lag.
    fn mark_missing_gone(
        &mut self,
        report: &Report,
        settings: &OwnerSettings,
        now: Millis,
    ) {
        let missing: Vec<CopyKey> = self
            .copies
            .iter()
            .filter(|(_, copy)| {
                matches!(copy.state, CopyState::Resident | CopyState::Uncertain)
                    && now.since(copy.state_since) > settings.max_report_lag
            })
            .map(|(&key, _)| key)
            .filter(|&key| !report.instances.contains(&self.instance(key)))
            .collect();
        for key in missing {
            self.mark_gone(key, now);
        }
    }
}
