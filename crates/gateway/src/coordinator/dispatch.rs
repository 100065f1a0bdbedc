//! Routes queued requests to upstreams, reroutes failed attempts and settles ended requests.

use {
    super::{
        ActiveRequest, AttemptOutcome, Effect, Finished, RerouteRequest, Routed, Stage, State,
        state::AdapterLoad,
    },
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

/// The router's results for the requests tried in one pass over the queue.
#[derive(Debug, Default)]
struct RoutingResults {
    sent: Option<(UpstreamId, Option<Instance>)>,
    refused: Vec<(RequestId, Refusal)>,
}

impl State {
    /// Routes all queued requests that can run and refuses those that can't be served any more.
    pub(super) fn dispatch(
        &mut self,
        now: Millis,
    ) {
        for queued_request in self.queue.expire(now) {
            self.refuse(
                queued_request.request,
                Refusal::new(ErrorKind::CannotMeetDeadline),
            );
        }
        loop {
            let mut results = RoutingResults::default();
            let popped = self.pop_routable(&mut results, now);
            for &(request, refusal) in &results.refused {
                self.queue.cancel(request, now);
                self.refuse(request, refusal);
            }
            match (popped, results.sent) {
                (Some(request), Some((upstream, instance))) => {
                    self.send(request, upstream, instance, now);
                }
                _ if results.refused.is_empty() => return,
                _ => {}
            }
        }
    }

    fn pop_routable(
        &mut self,
        results: &mut RoutingResults,
        now: Millis,
    ) -> Option<RequestId> {
        let Self {
            queue,
            router,
            active,
            effects,
            adapter_loads,
            ..
        } = self;
        let can_run = |queued_request: &jasmine_core::queue::QueuedRequest| {
            let Some(active) = active.get(&queued_request.request) else {
                results
                    .refused
                    .push((queued_request.request, Refusal::new(ErrorKind::Internal)));
                return false;
            };
            let admission = active.admission;
            let account = admission.account;
            let (target, prefix) = (admission.target, admission.prefix);
            let route = match active.excluded_upstream {
                Some(excluded) => router.route_avoiding(excluded, target, prefix, account, now),
                None => router.route(target, prefix, account, now),
            };
            match route {
                Route::Send { upstream, instance } => {
                    results.sent = Some((upstream, instance));
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
                        adapter_loads
                            .entry(adapter)
                            .and_modify(|load| load.ended_at = None)
                            .or_insert(AdapterLoad {
                                started_at: now,
                                ended_at: None,
                            });
                    }
                    false
                }
                Route::Wait(_) => false,
                Route::Refuse(refusal) => {
                    results.refused.push((queued_request.request, refusal));
                    false
                }
            }
        };
        queue
            .pop(now, can_run)
            .map(|queued_request| queued_request.request)
    }

    fn send(
        &mut self,
        request: RequestId,
        upstream: UpstreamId,
        instance: Option<Instance>,
        now: Millis,
    ) {
        let batch = self.router.in_flight(upstream);
        let Some(active) = self.active.get_mut(&request) else {
            self.router
                .finished(upstream, instance, RequestOutcome::Done, now);
            return;
        };
        let target = active.admission.target;
        let routed =
            destination(&self.fleet, target, upstream, instance).map(|destination| Routed {
                upstream,
                address: destination.address,
                model: destination.model,
                weights: destination.weights,
                batch,
                queue_wait: now.since(active.waiting_since),
                load_wait: adapter_load_time(&self.adapter_loads, active, now),
            });
        match routed {
            Some(routed) if active.is_reply_awaited() => {
                active.stage = Stage::Sent { upstream, instance };
                active.send_reply(Ok(routed));
            }
            // The caller has disconnected, or the requested target was removed from the configuration.
            _ => {
                active.stage = Stage::Idle;
                let actions = self
                    .router
                    .finished(upstream, instance, RequestOutcome::Done, now);
                self.effects.extend(actions.into_iter().map(Effect::from));
                self.refuse(request, Refusal::new(ErrorKind::NoUpstream));
            }
        }
    }

    /// Routes a request again after a failed attempt.
    pub fn reroute(
        &mut self,
        reroute: RerouteRequest,
        reply: oneshot::Sender<Result<Routed, Refusal>>,
    ) {
        let now = self.clock.now();
        let outcome = if reroute.not_loaded {
            RequestOutcome::NotLoaded
        } else {
            RequestOutcome::Failed
        };
        let failed_upstream = self.release_upstream(reroute.request, outcome, now);
        let Some(active) = self.active.get_mut(&reroute.request) else {
            return;
        };
        active.excluded_upstream = failed_upstream.filter(|_| !reroute.not_loaded);
        active.restart_wait(reply, now);
        // The failed attempt may have run, so its charge is spent; the next one is charged anew.
        if reroute.cause == RouteCause::MayHaveRun
            && let Some(charge) = active.charge.take()
        {
            self.ledger.settle(charge, charge.tokens, now);
        }
        if self
            .active
            .get(&reroute.request)
            .is_some_and(|active| active.charge.is_some())
        {
            self.enqueue(reroute.request, now);
        } else {
            self.charge(reroute.request, now);
        }
        self.dispatch(now);
    }

    /// Removes an ended request and settles its charge.
    pub fn finish(
        &mut self,
        finished: Finished,
    ) {
        let now = self.clock.now();
        let outcome = match finished.outcome {
            AttemptOutcome::Answered | AttemptOutcome::Cancelled => RequestOutcome::Done,
            AttemptOutcome::Failed => RequestOutcome::Failed,
        };
        self.release_upstream(finished.request, outcome, now);
        self.queue.cancel(finished.request, now);
        let Some(active) = self.active.remove(&finished.request) else {
            return;
        };
        if let Some(charge) = active.charge {
            let used_tokens = finished.used_tokens.unwrap_or(charge.tokens);
            self.ledger.settle(charge, used_tokens, now);
            self.queue
                .settle(charge.account, charge.tokens, used_tokens);
        }
        self.dispatch(now);
    }

    /// Ends a request's attempt at its upstream and returns that upstream, if it had one.
    fn release_upstream(
        &mut self,
        request: RequestId,
        outcome: RequestOutcome,
        now: Millis,
    ) -> Option<UpstreamId> {
        let active = self.active.get_mut(&request)?;
        let Stage::Sent { upstream, instance } = active.stage else {
            return None;
        };
        active.stage = Stage::Idle;
        let actions = self.router.finished(upstream, instance, outcome, now);
        self.effects.extend(actions.into_iter().map(Effect::from));
        Some(upstream)
    }
}

/// The part of a request's wait during which its adapter was being loaded.
fn adapter_load_time(
    adapter_loads: &HashMap<jasmine_core::ids::AdapterVersion, AdapterLoad>,
    active: &ActiveRequest,
    now: Millis,
) -> Millis {
    let Target::Adapter(_, adapter) = active.admission.target else {
        return Millis::ZERO;
    };
    adapter_loads.get(&adapter).map_or(Millis::ZERO, |load| {
        let started_at = load.started_at.max(active.waiting_since);
        load.ended_at.unwrap_or(now).min(now).since(started_at)
    })
}

/// The address of an upstream and the model that a request names there.
struct Destination {
    address: std::net::SocketAddr,
    model: String,
    weights: String,
}

fn destination(
    fleet: &Fleet,
    target: Target,
    upstream: UpstreamId,
    instance: Option<Instance>,
) -> Option<Destination> {
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
    Some(Destination {
        address,
        model,
        weights,
    })
}
