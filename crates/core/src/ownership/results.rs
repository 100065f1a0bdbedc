use {
    super::{
        action::{AcquireOutcome, OwnerAction},
        engine_copy::CopyState,
        event::{LoadResult, Report, UnloadResult},
        owned_engine::CopyKey,
        owner_machine::{OwnerMachine, reply_all},
        pending_load::LoadStage,
    },
    crate::{
        clock::Millis,
        ids::{Fence, UpstreamId},
        placement::Instance,
    },
};

/// Handling of order results and engine reports.
impl OwnerMachine {
    pub(super) fn handle_fence_result(
        &mut self,
        upstream: UpstreamId,
        fence: Fence,
        accepted: bool,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return;
        };
        match (engine.ownership.fence == fence, accepted) {
            (true, true) => engine.is_fence_raised = true,
            (true, false) => self.lose_ownership(upstream, out),
            (false, _) => {}
        }
    }

    pub(super) fn handle_load_result(
        &mut self,
        instance: Instance,
        result: LoadResult,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(engine) = self.engines.get_mut(&instance.upstream) else {
            return;
        };
        let key = (instance.adapter, instance.fence);
        if !engine.has_state(key, CopyState::Loading) {
            return;
        }
        match result {
            LoadResult::Loaded => {
                engine.backoffs.remove(&instance.adapter);
                self.grant_waiting(key, instance, now, out);
            }
            LoadResult::NoFreeSlot => {
                engine.mark_gone(key, now);
                engine.loads_paused_until = now + self.settings.initial_backoff;
                if let Some(load) = engine.pending_loads.get_mut(&instance.adapter) {
                    load.stage = LoadStage::Queued;
                }
            }
            LoadResult::StaleFence => self.lose_ownership(instance.upstream, out),
            LoadResult::Failed | LoadResult::Unknown => {
                match result {
                    LoadResult::Unknown => {
                        let copy = engine.copies.get_mut(&key).expect("is loading");
                        copy.set_state(CopyState::Uncertain, now);
                    }
                    _ => engine.mark_gone(key, now),
                }
                let pause = engine.record_load_failure(instance.adapter, &self.settings, now);
                if let Some(load) = engine.pending_loads.remove(&instance.adapter) {
                    reply_all(load.waiters, AcquireOutcome::LoadFailed(pause), out);
                }
            }
        }
    }

    fn grant_waiting(
        &mut self,
        key: CopyKey,
        instance: Instance,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(engine) = self.engines.get_mut(&instance.upstream) else {
            return;
        };
        let owner = engine.ownership.fence;
        let Some(copy) = engine.copies.get_mut(&key) else {
            return;
        };
        copy.set_state(CopyState::Resident, now);
        let Some(mut load) = engine.pending_loads.remove(&instance.adapter) else {
            return;
        };
        let waiters = load.grant_all(copy);
        for waiter in &waiters {
            self.waits
                .record(waiter.account, now.since(waiter.since), now);
        }
        let outcome = AcquireOutcome::Granted { instance, owner };
        reply_all(waiters, outcome, out);
    }

    pub(super) fn handle_unload_result(
        &mut self,
        instance: Instance,
        result: UnloadResult,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(engine) = self.engines.get_mut(&instance.upstream) else {
            return;
        };
        let key = (instance.adapter, instance.fence);
        if !engine.has_state(key, CopyState::Unloading) {
            return;
        }
        match result {
            UnloadResult::Gone => {
                engine.recently_unloaded.insert(key, now);
                engine.mark_gone(key, now);
            }
            UnloadResult::StaleFence => self.lose_ownership(instance.upstream, out),
            UnloadResult::Unknown => {
                // The unload may still take effect, so the same name must not be loaded again.
                // A copy loaded under a newer token has another name.
                engine.blocked_keys.insert(key);
                if let Some(copy) = engine.copies.get_mut(&key) {
                    copy.set_state(CopyState::Uncertain, now);
                }
                if key.1 == engine.ownership.fence {
                    out.push(OwnerAction::RenewFence(instance.upstream));
                }
            }
        }
    }

    pub(super) fn handle_report(
        &mut self,
        report: &Report,
        now: Millis,
    ) {
        let settings = self.settings;
        if let Some(engine) = self.engines.get_mut(&report.upstream) {
            engine.apply_report(report, &settings, now);
        }
    }
}
