use {
    super::{MODEL, Message, Request, World},
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, AdapterVersion, UpstreamId},
        ownership::{AcquireOutcome, AcquireRequest, OwnerEvent, Poll, Release},
        routing::{Route, RouterAction, Target},
    },
};

impl World {
    /// Sends a caller's request to a gateway.
    pub fn request(
        &mut self,
        g: usize,
        adapter: AdapterVersion,
        account: u32,
    ) {
        self.last_request += 1;
        let request = Request {
            id: self.last_request,
            adapter,
            account: AccountId(account),
        };
        self.gateways[g].waiting.push(request);
        self.route_waiting(g);
    }

    /// Routes the waiting requests of a gateway.
    pub fn route_waiting(
        &mut self,
        g: usize,
    ) {
        if self.gateways[g].frozen {
            return;
        }
        for request in std::mem::take(&mut self.gateways[g].waiting) {
            let target = Target::Adapter(MODEL, request.adapter);
            let router = &mut self.gateways[g].router;
            match router.route(target, None, request.account, self.now) {
                Route::Send { upstream, instance } => {
                    let instance = instance.expect("an adapter has an instance");
                    assert_eq!(instance.adapter, request.adapter);
                    assert_eq!(instance.upstream, upstream);
                    let from = self.holder(g);
                    self.net.push(Message::Request {
                        from,
                        instance,
                        request,
                    });
                    continue;
                }
                Route::Acquire { upstream, ask } => {
                    self.send_acquire(g, upstream, request.adapter, request.account, ask);
                }
                Route::Wait(_) => {}
                Route::Refuse(refusal) => {
                    self.refused += 1;
                    self.trace_line(format!(
                        "g{g}: {} refused: {:?}",
                        request.adapter, refusal.kind
                    ));
                    continue;
                }
            }
            self.gateways[g].waiting.push(request);
        }
    }

    fn send_acquire(
        &mut self,
        g: usize,
        upstream: UpstreamId,
        adapter: AdapterVersion,
        account: AccountId,
        ask: u64,
    ) {
        let from = self.holder(g);
        self.gateways[g].acquires.insert(ask, (upstream, adapter));
        let Some(&c) = self.gateways[g].owners.get(&upstream) else {
            self.handle_acquire_reply(g, ask, AcquireOutcome::NotOwner);
            return;
        };
        let ask = AcquireRequest {
            from,
            ask,
            upstream,
            adapter,
            account,
            wait: Millis(1000),
        };
        self.net.push(Message::ToOwner(c, OwnerEvent::Acquire(ask)));
    }

    pub(super) fn handle_acquire_reply(
        &mut self,
        g: usize,
        ask: u64,
        outcome: AcquireOutcome,
    ) {
        let gateway = &mut self.gateways[g];
        let (upstream, adapter) = gateway.acquires[&ask];
        gateway
            .router
            .handle_acquire_outcome(upstream, adapter, ask, outcome, self.now);
    }

    pub fn perform_actions(
        &mut self,
        g: usize,
        actions: Vec<RouterAction>,
    ) {
        let from = self.holder(g);
        for action in actions {
            match action {
                RouterAction::Release {
                    instance,
                    fence,
                    ask,
                } => {
                    let Some(&c) = self.gateways[g].owners.get(&instance.upstream) else {
                        continue;
                    };
                    let instances = vec![instance];
                    let release = Release {
                        from,
                        fence,
                        ask,
                        instances,
                    };
                    self.net
                        .push(Message::ToOwner(c, OwnerEvent::Released(release)));
                }
                RouterAction::Acquire {
                    upstream,
                    adapter,
                    account,
                    ask,
                } => {
                    self.send_acquire(g, upstream, adapter, account, ask);
                }
            }
        }
    }

    /// Updates the owners that a gateway knows and makes it poll all of them.
    pub fn poll(
        &mut self,
        g: usize,
    ) {
        if self.gateways[g].frozen {
            return;
        }
        for (&upstream, &(c, fence)) in &self.owners {
            self.gateways[g].owners.insert(upstream, c);
            self.gateways[g].router.observe_fence(upstream, fence);
        }
        let poll = Poll {
            from: self.holder(g),
            seen: self.gateways[g].router.seen_fences(),
            held: self.gateways[g].router.held(),
        };
        for c in 0..self.controllers.len() {
            self.net
                .push(Message::ToOwner(c, OwnerEvent::Polled(poll.clone())));
        }
    }
}
