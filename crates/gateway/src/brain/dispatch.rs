//! From the queue to an upstream, and what follows when a request has ended.

use {
    super::{Effect, Finished, Outcome, RouteAgain, Routed, Running, Stage, State, state::Load},
    jasmine_conf::fleet::Fleet,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        forward::RouteCause,
        ids::{RequestId, UpstreamId},
        placement::Instance,
        routing::{RequestOutcome, Route, Target},
    },
    std::collections::HashMap,
    tokio::sync::oneshot,
};

/// What the router has said about the requests that the queue offered.
#[derive(Debug, Default)]
struct Offers {
    sent: Option<(UpstreamId, Option<Instance>)>,
    refused: Vec<(RequestId, Refusal)>,
}

impl State {
    /// Sends what can run and refuses what can't be served any more.
    pub(super) fn dispatch(
        &mut self,
        now: Millis,
    ) {
        for waiting in self.queue.expire(now) {
            self.refuse(waiting.request, Refusal::new(ErrorKind::CannotMeetDeadline));
        }
        loop {
            let mut offers = Offers::default();
            let popped = self.offer(&mut offers, now);
            for &(request, refusal) in &offers.refused {
                self.queue.cancel(request, now);
                self.refuse(request, refusal);
            }
            match (popped, offers.sent) {
                (Some(request), Some((upstream, instance))) => {
                    self.send(request, upstream, instance, now);
                }
                _ if offers.refused.is_empty() => return,
                _ => {}
            }
        }
    }

    fn offer(
        &mut self,
        offers: &mut Offers,
        now: Millis,
    ) -> Option<RequestId> {
        let Self {
            queue,
            router,
            running,
            effects,
            loads,
            ..
        } = self;
        let can_run = |waiting: &jasmine_core::queue::QueuedRequest| {
            let Some(running) = running.get(&waiting.request) else {
                offers
                    .refused
                    .push((waiting.request, Refusal::new(ErrorKind::Internal)));
                return false;
            };
            let admission = running.admission;
            let account = admission.account;
            let (target, prefix) = (admission.target, admission.prefix);
            let route = match running.avoid {
                Some(avoid) => router.route_avoiding(avoid, target, prefix, account, now),
                None => router.route(target, prefix, account, now),
            };
            match route {
                Route::Send { upstream, instance } => {
                    offers.sent = Some((upstream, instance));
                    true
                }
                Route::Acquire { upstream, ask } => {
                    if let Target::Adapter(_, adapter) = admission.target {
                        effects.push(Effect::Acquire {
                            upstream,
                            adapter,
                            account,
                            ask,
                        });
                        loads
                            .entry(adapter)
                            .and_modify(|load| load.to = None)
                            .or_insert(Load {
                                from: now,
                                to: None,
                            });
                    }
                    false
                }
                Route::Wait(_) => false,
                Route::Refuse(refusal) => {
                    offers.refused.push((waiting.request, refusal));
                    false
                }
            }
        };
        queue.pop(now, can_run).map(|waiting| waiting.request)
    }

    fn send(
        &mut self,
        request: RequestId,
        upstream: UpstreamId,
        instance: Option<Instance>,
        now: Millis,
    ) {
        let batch = self.router.in_flight(upstream);
        let Some(running) = self.running.get_mut(&request) else {
            self.router
                .finished(upstream, instance, RequestOutcome::Done, now);
            return;
        };
        let target = running.admission.target;
        let routed = place(&self.fleet, target, upstream, instance).map(|place| Routed {
            upstream,
            address: place.address,
            model: place.model,
            weights: place.weights,
            batch,
            waited: now.since(running.waiting_since),
            stalled: stall(&self.loads, running, now),
        });
        match routed {
            Some(routed) if running.is_awaited() => {
                running.stage = Stage::Sent { upstream, instance };
                running.answer(Ok(routed));
            }
            // The caller has gone, or the configuration has lost what the request is for.
            _ => {
                running.stage = Stage::Idle;
                let actions = self
                    .router
                    .finished(upstream, instance, RequestOutcome::Done, now);
                self.effects.extend(actions.into_iter().map(Effect::from));
                self.refuse(request, Refusal::new(ErrorKind::NoUpstream));
            }
        }
    }

    /// Routes a request whose last attempt came to nothing.
    pub fn route_again(
        &mut self,
        again: RouteAgain,
        reply: oneshot::Sender<Result<Routed, Refusal>>,
    ) {
        let now = self.clock.now();
        let finish = if again.not_loaded {
            RequestOutcome::NotLoaded
        } else {
            RequestOutcome::Failed
        };
        let left = self.leave_upstream(again.request, finish, now);
        let Some(running) = self.running.get_mut(&again.request) else {
            return;
        };
        running.avoid = left.filter(|_| !again.not_loaded);
        running.wait_again(reply, now);
        // What may have run has been used; a second run is charged like a new request.
        if again.cause == RouteCause::MayHaveRun
            && let Some(charge) = running.charge.take()
        {
            self.ledger.settle(charge, charge.tokens, now);
        }
        if self
            .running
            .get(&again.request)
            .is_some_and(|running| running.charge.is_some())
        {
            self.enqueue(again.request, now);
        } else {
            self.charge(again.request, now);
        }
        self.dispatch(now);
    }

    /// Settles a request that has ended.
    pub fn finish(
        &mut self,
        finished: Finished,
    ) {
        let now = self.clock.now();
        let finish = match finished.outcome {
            Outcome::Answered | Outcome::Stopped => RequestOutcome::Done,
            Outcome::Failed => RequestOutcome::Failed,
        };
        self.leave_upstream(finished.request, finish, now);
        self.queue.cancel(finished.request, now);
        let Some(running) = self.running.remove(&finished.request) else {
            return;
        };
        if let Some(charge) = running.charge {
            let used = finished.used.unwrap_or(charge.tokens);
            self.ledger.settle(charge, used, now);
            self.queue.settle(charge.account, charge.tokens, used);
        }
        self.dispatch(now);
    }

    /// Notes that a request is no longer at its upstream; which that was.
    fn leave_upstream(
        &mut self,
        request: RequestId,
        finish: RequestOutcome,
        now: Millis,
    ) -> Option<UpstreamId> {
        let running = self.running.get_mut(&request)?;
        let Stage::Sent { upstream, instance } = running.stage else {
            return None;
        };
        running.stage = Stage::Idle;
        let actions = self.router.finished(upstream, instance, finish, now);
        self.effects.extend(actions.into_iter().map(Effect::from));
        Some(upstream)
    }
}

/// How much of a request's wait went into loading its adapter.
fn stall(
    loads: &HashMap<jasmine_core::ids::AdapterVersion, Load>,
    running: &Running,
    now: Millis,
) -> Millis {
    let Target::Adapter(_, adapter) = running.admission.target else {
        return Millis::ZERO;
    };
    loads.get(&adapter).map_or(Millis::ZERO, |load| {
        let from = load.from.max(running.waiting_since);
        load.to.unwrap_or(now).min(now).since(from)
    })
}

/// Where an upstream is and what a request names there.
struct Place {
    address: std::net::SocketAddr,
    model: String,
    weights: String,
}

fn place(
    fleet: &Fleet,
    target: Target,
    upstream: UpstreamId,
    instance: Option<Instance>,
) -> Option<Place> {
    let address = fleet.upstreams.get(upstream)?.address;
    let (model, weights) = match (target, instance) {
        (Target::Base(model), _) => (fleet.models.get(model)?.name.clone(), String::new()),
        (Target::Service(_), _) => (String::new(), String::new()),
        (Target::Adapter(_, adapter), Some(instance)) => {
            let versions = &fleet.adapters.get(adapter.adapter)?.versions;
            let weights = versions.get(&adapter.version)?.weights.clone();
            (instance.name(), weights)
        }
        (Target::Adapter(..), None) => return None,
    };
    Some(Place {
        address,
        model,
        weights,
    })
}
