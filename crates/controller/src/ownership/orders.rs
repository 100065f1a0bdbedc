//! Sends the orders that the ownership state machine requests.

use {
    super::{EngineOwner, EngineTarget},
    crate::engines::EngineClient,
    jasmine_core::{
        ids::{Fence, UpstreamId},
        ownership::{LoadResult, OwnerEvent, UnloadResult},
        placement::Instance,
    },
    jasmine_telemetry::log::Line,
    std::{rc::Rc, time::Duration},
};

/// Maximum number of attempts to raise an engine's fencing token.
const MAX_RAISE_ATTEMPTS: u32 = 10;

/// Delay between attempts to raise a fencing token.
const RAISE_RETRY_DELAY: Duration = Duration::from_millis(500);

impl EngineOwner {
    pub(super) async fn load(
        self: Rc<Self>,
        instance: Instance,
        fence: Fence,
    ) {
        let weights = self.config.weights(instance.adapter);
        let result = match (self.target_if_sendable(instance.upstream, fence), weights) {
            (Some(engine), Some(weights)) => {
                EngineClient
                    .load(engine.address, instance, &weights, fence)
                    .await
            }
            // No order was sent.
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
        let result = match self.target_if_sendable(instance.upstream, fence) {
            Some(engine) => EngineClient.unload(engine.address, instance, fence).await,
            // No order was sent; `Unknown` is the safe result, as it assumes one may still be running.
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

    pub(super) async fn raise_fence(
        self: Rc<Self>,
        upstream: UpstreamId,
        fence: Fence,
    ) {
        for _ in 0..MAX_RAISE_ATTEMPTS {
            let Some(engine) = self.target_if_sendable(upstream, fence) else {
                return;
            };
            if let Some(raised) = EngineClient.raise_fence(engine.address, fence).await {
                self.handle(OwnerEvent::FenceRaised(upstream, fence, raised));
                return;
            }
            tokio::time::sleep(RAISE_RETRY_DELAY).await;
        }
    }

    pub(super) async fn request_budget(
        self: Rc<Self>,
        loads: u32,
    ) {
        let granted = self.budget.take(loads).await;
        if granted > 0 {
            self.handle(OwnerEvent::BudgetGranted(granted));
        }
    }

    /// Returns the engine if an order with this fencing token may be sent right now.
    ///
    /// The process may have been suspended beyond its lease after the state machine decided on the
    /// order, so the clock is checked again immediately before sending.
    fn target_if_sendable(
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
