use {
    super::{Message, NO_SENDER, World},
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        ownership::{LoadResult, OwnerAction, OwnerEvent, OwnerMachine, UnloadResult},
        routing::RequestOutcome,
    },
};

impl World {
    /// Handles the loss of a message, or the timeout of an order at its sender.
    pub fn lose(
        &mut self,
        message: &Message,
    ) {
        let (c, event) = match *message {
            Message::Order(c, OwnerAction::OrderLoad { instance, .. }) => {
                (c, OwnerEvent::LoadEnded(instance, LoadResult::Unknown))
            }
            Message::Order(c, OwnerAction::OrderUnload { instance, .. }) => {
                (c, OwnerEvent::UnloadEnded(instance, UnloadResult::Unknown))
            }
            Message::Request {
                from,
                instance,
                request,
            }
            | Message::Response {
                to: from,
                instance,
                request,
                ..
            } => {
                let finish = RequestOutcome::Failed;
                let end = Message::Response {
                    to: from,
                    instance,
                    finish,
                    request,
                };
                self.engines
                    .get_mut(&instance.upstream)
                    .expect("known")
                    .end(instance, request.id);
                self.net.push(end);
                return;
            }
            _ => return,
        };
        if c != NO_SENDER {
            self.net.push(Message::ToOwner(c, event));
        }
    }

    /// Restarts an engine, which loses its adapters and running requests.
    pub fn restart_engine(
        &mut self,
        upstream: UpstreamId,
    ) {
        let engine = self.engines.get_mut(&upstream).expect("known");
        engine.boot += 1;
        for (instance, work) in std::mem::take(&mut engine.loaded) {
            for (to, request) in work {
                let finish = RequestOutcome::Failed;
                self.net.push(Message::Response {
                    to,
                    instance,
                    finish,
                    request,
                });
            }
        }
    }

    /// Restarts a gateway; its connections close and engines drop its requests.
    pub fn restart_gateway(
        &mut self,
        g: usize,
    ) {
        let next = self.gateways[g].incarnation.next();
        for engine in self.engines.values_mut() {
            for work in engine.loaded.values_mut() {
                work.retain(|(from, _)| from.vm.0 as usize != g);
            }
        }
        self.net.retain(
            |message| !matches!(message, Message::Request { from, .. } if from.vm.0 as usize == g),
        );
        self.gateways[g] = self.new_gateway(next);
    }

    /// Restarts a controller, which loses its lease and its engines.
    pub fn restart_controller(
        &mut self,
        c: usize,
    ) {
        let controller = &mut self.controllers[c];
        controller.machine = OwnerMachine::new(self.settings);
        controller.outbox.clear();
        controller.inbox.clear();
        controller.frozen = false;
        controller.store_lease = Millis::ZERO;
        let owned = self.owners.iter().filter(|(_, (owner, _))| *owner == c);
        self.orphans.extend(owned.map(|(&upstream, _)| upstream));
        self.net
            .retain(|message| !matches!(message, Message::ToOwner(to, _) if *to == c));
    }

    /// Assigns engines whose owner's lease has lapsed to the next live controller.
    pub fn reassign(&mut self) {
        let lapsed: Vec<(UpstreamId, usize)> = self
            .owners
            .iter()
            .filter(|(upstream, (c, _))| {
                self.orphans.contains(upstream) || self.controllers[*c].store_lease <= self.now
            })
            .map(|(&upstream, &(c, _))| (upstream, c))
            .collect();
        for (upstream, c) in lapsed {
            let live = |i: &usize| !self.controllers[*i].frozen;
            let n = self.controllers.len();
            if let Some(next) = (1..=n).map(|step| (c + step) % n).find(live) {
                // The former owner learns from the store that it has lost the engine.
                self.handle_event(c, OwnerEvent::OwnershipLost(upstream));
                self.assign_owner(upstream, next);
                self.trace_line(format!("c{next} owns {upstream}"));
            }
        }
    }
}
