//! What the daemons' machines ask for, carried out in the simulated world.

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
                self.carry_out(world, c, &action);
            }
        }
    }

    pub(super) fn carry_out(
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
                    !engine.uses(instance),
                    "unload of {} in use",
                    instance.name()
                );
                engine.loaded.remove(&instance);
                let gone = OwnerEvent::UnloadEnded(instance, UnloadResult::Gone);
                self.events.push_back((c, gone));
            }
            OwnerAction::RequestBudget(loads) => {
                let asked = &mut self.asked[c];
                if asked.loads == 0 {
                    asked.since = world.now;
                }
                asked.loads = loads;
            }
            OwnerAction::Reply { to, ask, outcome } => {
                let gateway = &mut self.gateways[to.vm.0 as usize];
                if let Some((upstream, adapter)) = gateway.asks.remove(&ask) {
                    gateway
                        .router
                        .handle_acquire_outcome(upstream, adapter, ask, outcome, world.now);
                }
            }
            OwnerAction::Recall { holder, instance } => {
                let g = holder.vm.0 as usize;
                let actions = self.gateways[g].router.recall(instance);
                self.act(g, actions);
            }
            OwnerAction::RaiseFence { .. } | OwnerAction::RenewFence(_) => {}
        }
    }

    pub(super) fn act(
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
                    self.ask(
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

    pub(super) fn ask(
        &mut self,
        g: usize,
        ask: AcquireRequest,
    ) {
        self.gateways[g]
            .asks
            .insert(ask.ask, (ask.upstream, ask.adapter));
        let c = self.owner_of[ask.upstream.0 as usize];
        self.events.push_back((c, OwnerEvent::Acquire(ask)));
    }

    /// Sends what can be sent from a gateway's queue.
    pub(super) fn pump(
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
                let queue::Target::Adapter(adapter) = waiting.target else {
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
            self.sent_by.insert(id, (g, instance));
            world.send(id, instance.upstream.0 as usize, instance);
        }
        for (request, refusal) in refused {
            if self.gateways[g].queue.cancel(request, now).is_some() {
                world.refuse(request.0 as usize, refusal);
            }
        }
        for ask in asks {
            self.ask(g, ask);
        }
    }
}
