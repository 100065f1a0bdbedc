use {
    super::{
        Router, RouterAction,
        adapter_entry::{AvoidReason, AvoidedEngine},
        engine::HeldGrant,
    },
    crate::{
        clock::Millis,
        ids::{AdapterVersion, Fence, UpstreamId},
        ownership::AcquireOutcome,
        placement::Instance,
    },
};

/// Delay before an engine whose owner is changing is asked again.
const OWNER_CHANGE_DELAY: Millis = Millis(200);

impl Router {
    /// Handles the reply to an acquire request; waiting requests must be routed again.
    ///
    /// A reply to a request that is no longer pending is dropped, since the gateway may have released
    /// the instance in the meantime.
    pub fn handle_acquire_outcome(
        &mut self,
        upstream: UpstreamId,
        adapter: AdapterVersion,
        ask: u64,
        outcome: AcquireOutcome,
        now: Millis,
    ) {
        let Some(entry) = self.adapters.get_mut(&adapter) else {
            return;
        };
        let before = entry.pending.len();
        entry.pending.retain(|pending| pending.ask != ask);
        let was_pending = entry.pending.len() < before;
        let Some(engine) = self.engines.get_mut(&upstream).filter(|_| was_pending) else {
            return;
        };
        entry.loading_on = (outcome == AcquireOutcome::Loading).then_some(upstream);
        match outcome {
            AcquireOutcome::Granted { instance, owner } if owner >= engine.seen_fence => {
                engine.seen_fence = owner;
                let held = HeldGrant {
                    in_flight: 0,
                    last_used: now,
                    is_recalled: false,
                };
                engine.held.entry((adapter, instance.fence)).or_insert(held);
                entry.held.insert(upstream);
            }
            // A grant from a former owner is not valid any more.
            AcquireOutcome::Granted { .. } | AcquireOutcome::Loading => {}
            AcquireOutcome::Full(after) => entry.avoided.push(AvoidedEngine {
                upstream,
                until: now + after,
                reason: AvoidReason::Full,
            }),
            AcquireOutcome::LoadFailed(after) => entry.avoided.push(AvoidedEngine {
                upstream,
                until: now + after,
                reason: AvoidReason::LoadFailed,
            }),
            AcquireOutcome::NotOwner => engine.next_ask_at = now + OWNER_CHANGE_DELAY,
        }
    }

    /// Releases an instance that its owner recalls, immediately or when its last request has ended.
    pub fn recall(
        &mut self,
        instance: Instance,
    ) -> Vec<RouterAction> {
        let mut out = Vec::new();
        let Some(engine) = self.engines.get_mut(&instance.upstream) else {
            return out;
        };
        let key = (instance.adapter, instance.fence);
        match engine.held.get_mut(&key) {
            Some(held) if held.in_flight > 0 => held.is_recalled = true,
            _ => self.release(instance, &mut out),
        }
        out
    }

    /// Drops the grant for an instance and tells its owner.
    ///
    /// Pending acquire requests for the engine are cancelled: they may already have been granted, and
    /// the owner treats the release as covering those grants.
    pub(super) fn release(
        &mut self,
        instance: Instance,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(engine) = self.engines.get_mut(&instance.upstream) else {
            return;
        };
        engine.held.remove(&(instance.adapter, instance.fence));
        let holds_other = engine
            .held
            .range((instance.adapter, Fence::default())..=(instance.adapter, Fence(u64::MAX)))
            .next()
            .is_some();
        if let Some(entry) = self.adapters.get_mut(&instance.adapter) {
            if !holds_other {
                entry.held.remove(&instance.upstream);
            }
            entry
                .pending
                .retain(|pending| pending.upstream != instance.upstream);
        }
        out.push(RouterAction::Release {
            instance,
            fence: engine.seen_fence,
            ask: self.ask,
        });
    }

    /// Releases all grants on an engine that has restarted.
    pub(super) fn release_all(
        &mut self,
        upstream: UpstreamId,
        _now: Millis,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(engine) = self.engines.get(&upstream) else {
            return;
        };
        let keys: Vec<(AdapterVersion, Fence)> = engine.held.keys().copied().collect();
        for (adapter, fence) in keys {
            out.extend(self.recall(Instance {
                upstream,
                adapter,
                fence,
            }));
        }
    }

    /// Releases idle grants and requests more copies of busy adapters.
    pub fn tick(
        &mut self,
        now: Millis,
    ) -> Vec<RouterAction> {
        let mut out = Vec::new();
        let active: Vec<AdapterVersion> = self.active.iter().copied().collect();
        for adapter in active {
            self.release_idle(adapter, now, &mut out);
            self.request_extra_copy(adapter, now, &mut out);
            let entry = self.adapters.get(&adapter);
            if entry.is_none_or(|entry| entry.held.is_empty() && entry.pending.is_empty()) {
                self.active.remove(&adapter);
            }
            if entry.is_some_and(|entry| entry.is_idle(now)) {
                self.adapters.remove(&adapter);
            }
        }
        out
    }

    fn release_idle(
        &mut self,
        adapter: AdapterVersion,
        now: Millis,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(entry) = self.adapters.get(&adapter) else {
            return;
        };
        let idle_grant_timeout = self.settings.idle_grant_timeout;
        let all = (adapter, Fence::default())..=(adapter, Fence(u64::MAX));
        let idle: Vec<Instance> = entry
            .held
            .iter()
            .filter_map(|upstream| self.engines.get(upstream))
            .flat_map(|engine| {
                engine
                    .held
                    .range(all.clone())
                    .filter(|(_, held)| {
                        held.in_flight == 0 && now.since(held.last_used) >= idle_grant_timeout
                    })
                    .map(|(&(_, fence), _)| Instance {
                        upstream: engine.spec.upstream,
                        adapter,
                        fence,
                    })
            })
            .collect();
        for instance in idle {
            self.release(instance, out);
        }
    }

    /// Requests one more copy if all copies are busy.
    fn request_extra_copy(
        &mut self,
        adapter: AdapterVersion,
        now: Millis,
        out: &mut Vec<RouterAction>,
    ) {
        let Some(entry) = self.adapters.get(&adapter) else {
            return;
        };
        let account = entry.account;
        let least = entry
            .held
            .iter()
            .filter_map(|upstream| self.engines.get(upstream))
            .filter(|engine| engine.is_usable(now))
            .map(super::engine::Engine::utilisation)
            .min_by(f64::total_cmp);
        let is_busy =
            least.is_some_and(|utilisation| utilisation >= self.settings.extra_copy_utilisation);
        if !is_busy || !entry.pending.is_empty() {
            return;
        }
        let Some(upstream) = self.engine_to_acquire_on(adapter, now) else {
            return;
        };
        let has_room = self.engines[&upstream].utilisation() < self.settings.extra_copy_utilisation;
        if has_room {
            let ask = self.start_acquire(adapter, upstream, now);
            out.push(RouterAction::Acquire {
                upstream,
                adapter,
                account,
                ask,
            });
        }
    }
}
