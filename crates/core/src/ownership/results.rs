use {
    super::{
        action::{AcquireOutcome, OwnerAction},
        engine_copy::CopyState,
        event::{LoadResult, Report, UnloadResult},
        owned_engine::CopyKey,
        owner_machine::{OwnerMachine, reply_all},
        wanted::Stage,
    },
    crate::{
        clock::Millis,
        ids::{Fence, UpstreamId},
        placement::Instance,
    },
};

/// Handling of order results and engine reports.
impl OwnerMachine {
    pub(super) fn note_fence(
        &mut self,
        upstream: UpstreamId,
        fence: Fence,
        raised: bool,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return;
        };
        match (engine.own.fence == fence, raised) {
            (true, true) => engine.raised = true,
            (true, false) => self.lose(upstream, out),
            (false, _) => {}
        }
    }

    pub(super) fn end_load(
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
        if !engine.is_in(key, CopyState::Loading) {
            return;
        }
        match result {
            LoadResult::Loaded => {
                engine.backoffs.remove(&instance.adapter);
                self.grant_waiting(key, instance, now, out);
            }
            LoadResult::NoFreeSlot => {
                engine.forget(key, now);
                engine.paused_until = now + self.settings.first_backoff;
                if let Some(wanted) = engine.wanted.get_mut(&instance.adapter) {
                    wanted.stage = Stage::Queued;
                }
            }
            LoadResult::StaleFence => self.lose(instance.upstream, out),
            LoadResult::Failed | LoadResult::Unknown => {
                match result {
                    LoadResult::Unknown => {
                        let copy = engine.copies.get_mut(&key).expect("is loading");
                        copy.enter(CopyState::Doubtful, now);
                    }
                    _ => engine.forget(key, now),
                }
                let pause = engine.note_failure(instance.adapter, &self.settings, now);
                if let Some(wanted) = engine.wanted.remove(&instance.adapter) {
                    reply_all(wanted.waiters, AcquireOutcome::LoadFailed(pause), out);
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
        let owner = engine.own.fence;
        let Some(copy) = engine.copies.get_mut(&key) else {
            return;
        };
        copy.enter(CopyState::Resident, now);
        let Some(mut wanted) = engine.wanted.remove(&instance.adapter) else {
            return;
        };
        let waiters = wanted.grant(copy);
        for waiter in &waiters {
            self.waits
                .note(waiter.account, now.since(waiter.since), now);
        }
        let outcome = AcquireOutcome::Granted { instance, owner };
        reply_all(waiters, outcome, out);
    }

    pub(super) fn end_unload(
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
        if !engine.is_in(key, CopyState::Unloading) {
            return;
        }
        match result {
            UnloadResult::Gone => {
                engine.unloaded.insert(key, now);
                engine.forget(key, now);
            }
            UnloadResult::StaleFence => self.lose(instance.upstream, out),
            UnloadResult::Unknown => {
                // The unload may still take effect, so the same name must not be loaded again.
                // A copy loaded under a newer token has another name.
                engine.burnt.insert(key);
                if let Some(copy) = engine.copies.get_mut(&key) {
                    copy.enter(CopyState::Doubtful, now);
                }
                if key.1 == engine.own.fence {
                    out.push(OwnerAction::RenewFence(instance.upstream));
                }
            }
        }
    }

    pub(super) fn note_report(
        &mut self,
        report: &Report,
        now: Millis,
    ) {
        let settings = self.settings;
        if let Some(engine) = self.engines.get_mut(&report.upstream) {
            engine.note_report(report, &settings, now);
        }
    }
}
