use {
    super::{FakeEngine, Message, NO_SENDER, Request, World},
    jasmine_core::{
        ids::{Holder, UpstreamId},
        ownership::{OwnerAction, OwnerEvent},
        placement::Instance,
        routing::{EngineView, RequestOutcome},
    },
};

impl World {
    /// Delivers one message to its receiver.
    pub fn deliver(
        &mut self,
        message: Message,
    ) {
        match message {
            Message::ToOwner(c, event) => {
                let poller = match &event {
                    OwnerEvent::Polled(poll) => Some(poll.from),
                    _ => None,
                };
                let frozen = self.controllers[c].frozen;
                self.handle_event(c, event);
                if let Some(from) = poller.filter(|_| !frozen) {
                    self.reply_to_poll(c, from);
                }
            }
            Message::Order(c, order) => self.run_order(c, &order),
            Message::Reply { to, ask, outcome } => {
                if let Some(g) = self.gateway(to) {
                    self.handle_acquire_reply(g, ask, outcome);
                    self.route_waiting(g);
                }
            }
            Message::PollReply { to, views, recalls } => {
                for view in views {
                    if let Some(g) = self.gateway(to) {
                        let actions = self.gateways[g].router.update_view(view, self.now);
                        self.perform_actions(g, actions);
                    }
                }
                for instance in recalls {
                    self.recall(to, instance);
                }
            }
            Message::Recall(to, instance) => self.recall(to, instance),
            Message::Request {
                from,
                instance,
                request,
            } => self.start(from, instance, request),
            Message::Response {
                to,
                instance,
                finish,
                request,
            } => {
                self.finish(to, instance, finish, request);
            }
        }
    }

    fn gateway(
        &self,
        to: Holder,
    ) -> Option<usize> {
        let g = to.vm.0 as usize;
        let gateway = &self.gateways[g];
        (gateway.incarnation == to.incarnation && !gateway.frozen).then_some(g)
    }

    fn reply_to_poll(
        &mut self,
        c: usize,
        to: Holder,
    ) {
        let machine = &self.controllers[c].machine;
        let view = |engine: &FakeEngine| {
            let fence = machine.fence(engine.upstream)?;
            Some(EngineView {
                upstream: engine.upstream,
                owner_fence: fence,
                running: engine.loaded.values().map(|work| work.len() as u32).sum(),
                waiting: 0,
                free_slots: 0,
                healthy: true,
                boot: engine.boot,
                resident: machine.resident(engine.upstream),
            })
        };
        let views = self.engines.values().filter_map(view).collect();
        let recalls = machine.recalls(to);
        self.net.push(Message::PollReply { to, views, recalls });
    }

    fn recall(
        &mut self,
        to: Holder,
        instance: Instance,
    ) {
        if let Some(g) = self.gateway(to) {
            let actions = self.gateways[g].router.recall(instance);
            self.perform_actions(g, actions);
            self.route_waiting(g);
        }
    }

    fn run_order(
        &mut self,
        c: usize,
        order: &OwnerAction,
    ) {
        let event = match *order {
            OwnerAction::OrderLoad { instance, fence } => {
                let engine = self.engines.get_mut(&instance.upstream).expect("known");
                let result = engine.load(instance, fence);
                self.trace_line(format!("c{c}: load {} -> {result:?}", instance.name()));
                OwnerEvent::LoadEnded(instance, result)
            }
            OwnerAction::OrderUnload { instance, fence } => {
                let engine = self.engines.get_mut(&instance.upstream).expect("known");
                let (result, cut) = engine.unload(instance, fence);
                self.trace_line(format!("c{c}: unload {} -> {result:?}", instance.name()));
                if cut > 0 {
                    let fault = format!("unload of {} cut {cut} requests", instance.name());
                    self.trace_line(format!("FAULT {fault}"));
                    self.faults.push(fault);
                }
                OwnerEvent::UnloadEnded(instance, result)
            }
            OwnerAction::RaiseFence { upstream, fence } => {
                let engine = self.engines.get_mut(&upstream).expect("known");
                let raised = engine.raise(fence);
                OwnerEvent::FenceRaised(upstream, fence, raised)
            }
            _ => return,
        };
        if c != NO_SENDER {
            self.net.push(Message::ToOwner(c, event));
        }
    }

    fn start(
        &mut self,
        from: Holder,
        instance: Instance,
        request: Request,
    ) {
        let engine = self.engines.get_mut(&instance.upstream).expect("known");
        let Some(work) = engine.loaded.get_mut(&instance) else {
            self.trace_line(format!("{} not loaded", instance.name()));
            let finish = RequestOutcome::NotLoaded;
            let response = Message::Response {
                to: from,
                instance,
                finish,
                request,
            };
            self.net.push(response);
            return;
        };
        work.push((from, request));
    }

    /// Completes all running requests of an engine.
    pub fn end_work(
        &mut self,
        upstream: UpstreamId,
    ) {
        let engine = self.engines.get_mut(&upstream).expect("known");
        for (&instance, work) in &mut engine.loaded {
            for (to, request) in std::mem::take(work) {
                if instance.adapter != request.adapter {
                    self.faults
                        .push(format!("{} ran on {}", request.adapter, instance.name()));
                }
                let finish = RequestOutcome::Done;
                self.net.push(Message::Response {
                    to,
                    instance,
                    finish,
                    request,
                });
            }
        }
    }

    fn finish(
        &mut self,
        to: Holder,
        instance: Instance,
        finish: RequestOutcome,
        request: Request,
    ) {
        let Some(g) = self.gateway(to) else {
            if self.gateways[to.vm.0 as usize].incarnation == to.incarnation {
                self.net.push(Message::Response {
                    to,
                    instance,
                    finish,
                    request,
                });
            }
            return;
        };
        let upstream = instance.upstream;
        let router = &mut self.gateways[g].router;
        let actions = router.finished(upstream, Some(instance), finish, self.now);
        match finish {
            RequestOutcome::Done => self.served += 1,
            RequestOutcome::NotLoaded => self.gateways[g].waiting.push(request),
            RequestOutcome::Failed => self.refused += 1,
        }
        self.perform_actions(g, actions);
        self.route_waiting(g);
    }
}
