use {
    super::{Message, NOBODY, World},
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        ownership::{LoadResult, OwnerAction, OwnerEvent, OwnerMachine, UnloadResult},
        routing::Finish,
    },
};

impl World {
    /// The network loses a message, or the sender of an order gives up waiting for the answer.
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
            | Message::Answer {
                to: from,
                instance,
                request,
                ..
            } => {
                let finish = Finish::Failed;
                let end = Message::Answer {
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
        if c != NOBODY {
            self.net.push(Message::ToOwner(c, event));
        }
    }

    /// The engine's process restarts: nothing is loaded, its work is lost.
    pub fn restart_engine(
        &mut self,
        upstream: UpstreamId,
    ) {
        let engine = self.engines.get_mut(&upstream).expect("known");
        engine.boot += 1;
        for (instance, work) in std::mem::take(&mut engine.loaded) {
            for (to, request) in work {
                let finish = Finish::Failed;
                self.net.push(Message::Answer {
                    to,
                    instance,
                    finish,
                    request,
                });
            }
        }
    }

    /// A gateway's process is replaced: its connections close and engines drop its work.
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

    /// A controller's process is replaced; its engines go to whom the store gives them.
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

    /// Engines whose owner's lease has lapsed go to the next live controller.
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
                // The old owner reads in the store that the engine is not its own any more.
                self.tell(c, OwnerEvent::Lost(upstream));
                self.own(upstream, next);
                self.note(format!("c{next} owns {upstream}"));
            }
        }
    }
}
