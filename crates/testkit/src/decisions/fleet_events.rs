//! Executes the actions of owners and routers in the simulation.

use {
    super::{
        engine::{SLOTS, Store},
        fleet::{Fleet, MODEL, holder},
        sim::World,
    },
    jasmine_core::{
        clock::Millis,
        ownership::{AcquireRequest, LoadResult, OwnerAction, OwnerEvent, Release, UnloadResult},
        queue::{self},
        routing::{Route, RouterAction, Target},
    },
};

impl Fleet {
    pub(super) fn run_events(
        &mut self,
        world: &mut World,
    ) {
        while let Some((c, event)) = self.events.pop_front() {
            for action in self.owners[c].handle(event, world.now) {
                self.execute(world, c, &action);
            }
        }
    }

    pub(super) fn execute(
        &mut self,
        world: &mut World,
        c: usize,
        action: &OwnerAction,
    ) {
        match *action {
            OwnerAction::OrderLoad { instance, .. } => {
                let engine = &mut world.engines[instance.upstream.0 as usize];
                let used = engine.loaded.len() + engine.loading.len();
                if used < SLOTS as usize {
                    engine.loading.insert(instance, Store::LOAD_MS);
                } else {
                    let full = OwnerEvent::LoadEnded(instance, LoadResult::NoFreeSlot);
                    self.events.push_back((c, full));
                }
            }
            OwnerAction::OrderUnload { instance, .. } => {
                let engine = &mut world.engines[instance.upstream.0 as usize];
                assert!(
                    !engine.has_request_on(instance),
                    "unload of {} in use",
                    instance.name()
                );
                engine.loaded.remove(&instance);
                let gone = OwnerEvent::UnloadEnded(instance, UnloadResult::Gone);
                self.events.push_back((c, gone));
            }
            OwnerAction::RequestBudget(loads) => {
                let request = &mut self.budget_requests[c];
                if request.loads == 0 {
                    request.since = world.now;
                }
                request.loads = loads;
            }
            OwnerAction::Reply { to, ask, outcome } => {
                let gateway = &mut self.gateways[to.vm.0 as usize];
                if let Some((upstream, adapter)) = gateway.pending_acquires.remove(&ask) {
                    gateway
                        .router
                        .handle_acquire_outcome(upstream, adapter, ask, outcome, world.now);
                }
            }
            OwnerAction::Recall { holder, instance } => {
                let g = holder.vm.0 as usize;
                let actions = self.gateways[g].router.recall(instance);
                self.execute_router_actions(g, actions);
            }
            OwnerAction::RaiseFence { .. } | OwnerAction::RenewFence(_) => {}
        }
    }

    pub(super) fn execute_router_actions(
        &mut self,
        g: usize,
        actions: Vec<RouterAction>,
    ) {
        for action in actions {
            match action {
                RouterAction::Release {
                    instance,
                    fence,
                    ask,
                } => {
                    let instances = vec![instance];
                    let release = Release {
                        from: holder(g),
                        fence,
                        ask,
                        instances,
                    };
                    let c = self.owner_of[instance.upstream.0 as usize];
                    self.events.push_back((c, OwnerEvent::Released(release)));
                }
                RouterAction::Acquire {
                    upstream,
                    adapter,
                    account,
                    ask,
                } => {
                    self.send_acquire(
                        g,
                        AcquireRequest {
                            from: holder(g),
                            ask,
                            upstream,
                            adapter,
                            account,
                            wait: Millis(1000),
                        },
                    );
                }
            }
        }
    }

    pub(super) fn send_acquire(
        &mut self,
        g: usize,
        ask: AcquireRequest,
    ) {
        self.gateways[g]
            .pending_acquires
            .insert(ask.ask, (ask.upstream, ask.adapter));
        let c = self.owner_of[ask.upstream.0 as usize];
        self.events.push_back((c, OwnerEvent::Acquire(ask)));
    }

    /// Dispatches the queued requests of a gateway that can be routed.
    pub(super) fn dispatch_queue(
        &mut self,
        world: &mut World,
        g: usize,
    ) {
        let now = world.now;
        for waiting in self.gateways[g].queue.expire(now) {
            let kind = jasmine_core::error::ErrorKind::CannotMeetDeadline;
            let refusal = jasmine_core::error::Refusal::after(kind, Millis(1000));
            world.refuse(waiting.request.0 as usize, refusal);
        }
        let mut asks = Vec::new();
        let mut refused = Vec::new();
        loop {
            let gateway = &mut self.gateways[g];
            let router = &mut gateway.router;
            let mut sent = None;
            let popped = gateway.queue.pop(now, |waiting| {
                let queue::QueueTarget::Adapter(adapter) = waiting.target else {
                    return false;
                };
                let target = Target::Adapter(MODEL, adapter);
                match router.route(target, None, waiting.account, now) {
                    Route::Send { instance, .. } => sent = instance,
                    Route::Acquire { upstream, ask } => asks.push(AcquireRequest {
                        from: holder(g),
                        ask,
                        upstream,
                        adapter,
                        account: waiting.account,
                        wait: Millis(1000),
                    }),
                    Route::Wait(_) => {}
                    Route::Refuse(refusal) => refused.push((waiting.request, refusal)),
                }
                sent.is_some()
            });
            let (Some(waiting), Some(instance)) = (popped, sent) else {
                break;
            };
            let id = waiting.request.0 as usize;
            self.dispatched.insert(id, (g, instance));
            world.send(id, instance.upstream.0 as usize, instance);
        }
        for (request, refusal) in refused {
            if self.gateways[g].queue.cancel(request, now).is_some() {
                world.refuse(request.0 as usize, refusal);
            }
        }
        for ask in asks {
            self.send_acquire(g, ask);
        }
    }
}
