//! The orders that the owner's machine wants carried out.

use {
    super::{EngineTarget, OwnerDesk},
    crate::engines::EngineClient,
    jasmine_core::{
        ids::{Fence, UpstreamId},
        ownership::{LoadResult, OwnerEvent, UnloadResult},
        placement::Instance,
    },
    jasmine_telemetry::log::Line,
    std::{rc::Rc, time::Duration},
};

/// Attempts to raise an engine's fencing token.
const RAISE_ATTEMPTS: u32 = 10;

/// The pause between them.
const RAISE_PAUSE: Duration = Duration::from_millis(500);

impl OwnerDesk {
    pub(super) async fn load(
        self: Rc<Self>,
        instance: Instance,
        fence: Fence,
    ) {
        let weights = self.config.weights(instance.adapter);
        let result = match (self.may_send(instance.upstream, fence), weights) {
            (Some(engine), Some(weights)) => {
                EngineClient
                    .load(engine.address, instance, &weights, fence)
                    .await
            }
            // Nothing was sent.
            _ => LoadResult::Failed,
        };
        Line::new("load_ended")
            .with("upstream", instance.upstream)
            .with("instance", instance.name())
            .with("result", format!("{result:?}"))
            .info();
        self.handle(OwnerEvent::LoadEnded(instance, result));
    }

    pub(super) async fn unload(
        self: Rc<Self>,
        instance: Instance,
        fence: Fence,
    ) {
        let result = match self.may_send(instance.upstream, fence) {
            Some(engine) => EngineClient.unload(engine.address, instance, fence).await,
            // Not sent, which the machine takes for the worse case of an order still under way.
            None => UnloadResult::Unknown,
        };
        if result != UnloadResult::Gone {
            Line::new("unload_unsettled")
                .with("upstream", instance.upstream)
                .with("instance", instance.name())
                .with("result", format!("{result:?}"))
                .warn();
        }
        self.handle(OwnerEvent::UnloadEnded(instance, result));
    }

    pub(super) async fn raise(
        self: Rc<Self>,
        upstream: UpstreamId,
        fence: Fence,
    ) {
        for _ in 0..RAISE_ATTEMPTS {
            let Some(engine) = self.may_send(upstream, fence) else {
                return;
            };
            if let Some(raised) = EngineClient.raise_fence(engine.address, fence).await {
                self.handle(OwnerEvent::FenceRaised(upstream, fence, raised));
                return;
            }
            tokio::time::sleep(RAISE_PAUSE).await;
        }
    }

    pub(super) async fn ask_budget(
        self: Rc<Self>,
        loads: u32,
    ) {
        let granted = self.budget.take(loads).await;
        if granted > 0 {
            self.handle(OwnerEvent::BudgetGranted(granted));
        }
    }

    /// The engine, if an order under this token may be sent in this very step.
    ///
    /// Between the machine's decision and the sending the process may have been frozen past its
    /// lease. Asking the clock again right before the sending keeps such an order back.
    fn may_send(
        &self,
        upstream: UpstreamId,
        fence: Fence,
    ) -> Option<EngineTarget> {
        let now = self.clock.now();
        if !self.machine.borrow().can_send_order(upstream, fence, now) {
            return None;
        }
        self.orders.set(self.orders.get() + 1);
        self.engines
            .borrow()
            .get(&upstream)
            .map(|state| state.target)
    }
}
