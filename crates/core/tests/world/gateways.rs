use {
    super::{MODEL, Message, Request, World},
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, AdapterVersion, UpstreamId},
        ownership::{AcquireOutcome, Ask, OwnerEvent, Poll, Release},
        routing::{Route, RouterAction, Target},
    },
};

impl World {
    /// A caller sends a request to a gateway.
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
        self.pump(g);
    }

    /// Routes what waits at a gateway.
    pub fn pump(
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
                    self.ask(g, upstream, request.adapter, request.account, ask);
                }
                Route::Wait(_) => {}
                Route::Refuse(refusal) => {
                    self.refused += 1;
                    self.note(format!(
                        "g{g}: {} refused: {:?}",
                        request.adapter, refusal.kind
                    ));
                    continue;
                }
            }
            self.gateways[g].waiting.push(request);
        }
    }

    fn ask(
        &mut self,
        g: usize,
        upstream: UpstreamId,
        adapter: AdapterVersion,
        account: AccountId,
        ask: u64,
    ) {
        let from = self.holder(g);
        self.gateways[g].asks.insert(ask, (upstream, adapter));
        let Some(&c) = self.gateways[g].owners.get(&upstream) else {
            self.answer_ask(g, ask, AcquireOutcome::NotOwner);
            return;
        };
        let ask = Ask {
            from,
            ask,
            upstream,
            adapter,
            account,
            wait: Millis(1000),
        };
        self.net.push(Message::ToOwner(c, OwnerEvent::Acquire(ask)));
    }

    pub(super) fn answer_ask(
        &mut self,
        g: usize,
        ask: u64,
        outcome: AcquireOutcome,
    ) {
        let gateway = &mut self.gateways[g];
        let (upstream, adapter) = gateway.asks[&ask];
        gateway
            .router
            .acquired(upstream, adapter, ask, outcome, self.now);
    }

    pub fn act(
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
                    self.ask(g, upstream, adapter, account, ask);
                }
            }
        }
    }

    /// A gateway learns from the platform who owns what, and polls all owners.
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
            seen: self.gateways[g].router.seen(),
            held: self.gateways[g].router.held(),
        };
        for c in 0..self.controllers.len() {
            self.net
                .push(Message::ToOwner(c, OwnerEvent::Polled(poll.clone())));
        }
    }
}
