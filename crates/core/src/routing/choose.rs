use {
    super::{
        Route, Router, SpecKind, Target,
        adapter_entry::{AdapterEntry, Pending},
        engine::Engine,
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, AdapterVersion, ModelId, UpstreamId},
        placement::{Instance, preferred, rendezvous},
    },
};

/// Number of engines that a gateway considers for an adapter that is not loaded.
const PREFERRED: usize = 8;

/// Requests are refused temporarily after the adapter's load has failed on this many engines.
const FAILED_ENGINES: usize = 2;

impl Router {
    /// Decides where a request goes.
    ///
    /// `prefix` is a hash of the start of its prompt, used to prefer engines that may have it cached.
    pub fn route(
        &mut self,
        target: Target,
        prefix: Option<u64>,
        account: AccountId,
        now: Millis,
    ) -> Route {
        match target {
            Target::Adapter(model, adapter) => {
                self.route_adapter(model, adapter, prefix, account, now)
            }
            Target::Base(model) => {
                let engines = self.by_model.get(&model).map_or(&[][..], Vec::as_slice);
                let best = self.best(engines, prefix, now);
                self.send_plain(best, !engines.is_empty(), now)
            }
            Target::Service(service) => {
                let servers = self.by_service.get(&service).map_or(&[][..], Vec::as_slice);
                let best = self.best(servers, None, now);
                self.send_plain(best, !servers.is_empty(), now)
            }
        }
    }

    /// Decides where a request that has just failed at `avoid` is retried.
    ///
    /// A failing upstream looks idle until its breaker trips, so a retry goes to another one unless
    /// there is none.
    pub fn route_elsewhere(
        &mut self,
        avoid: UpstreamId,
        target: Target,
        prefix: Option<u64>,
        account: AccountId,
        now: Millis,
    ) -> Route {
        self.avoid = Some(avoid);
        let route = self.route(target, prefix, account, now);
        self.avoid = None;
        route
    }

    fn send_plain(
        &mut self,
        best: Option<UpstreamId>,
        exists: bool,
        now: Millis,
    ) -> Route {
        let Some(upstream) = best else {
            let delay = exists.then_some(self.settings.first_pause);
            return Route::Refuse(Refusal {
                kind: ErrorKind::NoUpstream,
                retry_after: delay,
            });
        };
        let engine = self.engines.get_mut(&upstream).expect("just chosen");
        let is_engine = matches!(engine.spec.kind, SpecKind::Engine { .. });
        if is_engine && engine.fill() >= self.settings.max_fill {
            return Route::Wait(self.settings.recheck);
        }
        send(engine, None, now)
    }

    fn route_adapter(
        &mut self,
        model: ModelId,
        adapter: AdapterVersion,
        prefix: Option<u64>,
        account: AccountId,
        now: Millis,
    ) -> Route {
        let entry = self
            .adapters
            .entry(adapter)
            .or_insert_with(|| AdapterEntry::new(model));
        entry.account = account;
        let held: Vec<UpstreamId> = entry.held.iter().copied().collect();
        let routable: Vec<UpstreamId> = held
            .into_iter()
            .filter(|upstream| self.grant_on(*upstream, adapter).is_some())
            .collect();
        if let Some(upstream) = self.best(&routable, prefix, now) {
            let instance = self.grant_on(upstream, adapter);
            let engine = self.engines.get_mut(&upstream).expect("just chosen");
            if engine.fill() >= self.settings.max_fill {
                return Route::Wait(self.settings.recheck);
            }
            return send(engine, instance, now);
        }
        self.acquire_somewhere(adapter, now)
    }

    /// The newest instance of the adapter on an engine that this gateway may route to.
    pub(super) fn grant_on(
        &self,
        upstream: UpstreamId,
        adapter: AdapterVersion,
    ) -> Option<Instance> {
        let engine = self.engines.get(&upstream)?;
        engine
            .held
            .iter()
            .rev()
            .find(|((of, _), held)| *of == adapter && !held.recalled)
            .map(|(&(_, fence), _)| Instance {
                upstream,
                adapter,
                fence,
            })
    }

    /// The usable upstream with the least cost; ties go to the one that may have the prefix cached.
    fn best(
        &self,
        upstreams: &[UpstreamId],
        prefix: Option<u64>,
        now: Millis,
    ) -> Option<UpstreamId> {
        let candidates = || {
            upstreams
                .iter()
                .filter_map(|upstream| self.engines.get(upstream))
                .filter(|engine| engine.is_usable(now))
        };
        let avoid = self
            .avoid
            .filter(|avoid| candidates().any(|engine| engine.spec.upstream != *avoid));
        let usable = || candidates().filter(|engine| Some(engine.spec.upstream) != avoid);
        let cost = |engine: &&Engine| engine.cost(&self.settings);
        let least = usable().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let Some(prefix) = prefix else {
            return Some(least.spec.upstream);
        };
        let bound = cost(&least) + self.settings.tie;
        let affinity = |engine: &&Engine| rendezvous(prefix, u64::from(engine.spec.upstream.0), 1);
        usable()
            .filter(|engine| cost(engine) <= bound)
            .max_by(|a, b| affinity(a).total_cmp(&affinity(b)))
            .map(|engine| engine.spec.upstream)
    }

    fn acquire_somewhere(
        &mut self,
        adapter: AdapterVersion,
        now: Millis,
    ) -> Route {
        let timeout = self.settings.ask_timeout;
        let entry = self.adapters.get_mut(&adapter).expect("just routed");
        entry
            .pending
            .retain(|pending| now.since(pending.since) < timeout);
        entry.avoid.retain(|avoid| now < avoid.until);
        if !entry.pending.is_empty() {
            return Route::Wait(self.settings.recheck);
        }
        if entry.failures(now) >= FAILED_ENGINES {
            let left = entry.avoid_left(now).unwrap_or_default();
            return Route::Refuse(Refusal::after(ErrorKind::AdapterLoadFailed, left));
        }
        match self.where_to_acquire(adapter, now) {
            Some(upstream) => {
                let ask = self.ask_for(adapter, upstream, now);
                Route::Acquire { upstream, ask }
            }
            None => self.nowhere(adapter, now),
        }
    }

    /// The engine to ask for an adapter: one that has or loads it, or else the most preferred one.
    pub(super) fn where_to_acquire(
        &mut self,
        adapter: AdapterVersion,
        now: Millis,
    ) -> Option<UpstreamId> {
        self.rank_engines(adapter);
        let entry = self.adapters.get(&adapter)?;
        let may_ask = |upstream: &&UpstreamId| {
            !entry.avoids(**upstream, now)
                && !entry.held.contains(upstream)
                && self
                    .engines
                    .get(upstream)
                    .is_some_and(|engine| engine.is_usable(now) && now >= engine.ask_again)
        };
        let cost = |upstream: &UpstreamId| self.engines[upstream].cost(&self.settings);
        let resident = entry
            .resident
            .iter()
            .filter(may_ask)
            .min_by(|a, b| cost(a).total_cmp(&cost(b)));
        // The engine that loads it goes first: the lagging view may list a copy that is gone, and
        // following it can cause repeated loads that evict each other's adapters.
        entry
            .loading_on
            .as_ref()
            .filter(may_ask)
            .or(resident)
            .or_else(|| entry.preferred.iter().find(may_ask))
            .copied()
    }

    /// Updates the order of preference if the list of upstreams has changed.
    fn rank_engines(
        &mut self,
        adapter: AdapterVersion,
    ) {
        let Some(entry) = self.adapters.get_mut(&adapter) else {
            return;
        };
        if entry.preferred_for == self.list {
            return;
        }
        let slots = self.slots.get(&entry.model).map_or(&[][..], Vec::as_slice);
        entry.preferred = preferred(adapter, slots, PREFERRED);
        entry.preferred_for = self.list;
    }

    /// Allocates a request id and records the acquire request as pending.
    pub(super) fn ask_for(
        &mut self,
        adapter: AdapterVersion,
        upstream: UpstreamId,
        now: Millis,
    ) -> u64 {
        self.ask += 1;
        let ask = self.ask;
        self.active.insert(adapter);
        if let Some(entry) = self.adapters.get_mut(&adapter) {
            entry.pending.push(Pending {
                upstream,
                ask,
                since: now,
            });
        }
        ask
    }

    /// The result if no engine may be asked now.
    fn nowhere(
        &self,
        adapter: AdapterVersion,
        now: Millis,
    ) -> Route {
        let entry = &self.adapters[&adapter];
        let any_usable = entry
            .preferred
            .iter()
            .any(|upstream| self.engines[upstream].is_usable(now));
        match (any_usable, entry.failures(now) > 0, entry.avoid_left(now)) {
            (false, _, _) => Route::Refuse(Refusal::after(
                ErrorKind::NoUpstream,
                self.settings.first_pause,
            )),
            (true, true, Some(left)) => {
                Route::Refuse(Refusal::after(ErrorKind::AdapterLoadFailed, left))
            }
            (true, _, left) => {
                let recheck = self.settings.recheck;
                Route::Wait(left.map_or(recheck, |left| left.min(recheck)))
            }
        }
    }
}

fn send(
    engine: &mut Engine,
    instance: Option<Instance>,
    now: Millis,
) -> Route {
    engine.own += 1;
    engine.breaker.sent();
    if let Some(instance) = instance {
        let key = (instance.adapter, instance.fence);
        if let Some(held) = engine.held.get_mut(&key) {
            held.in_flight += 1;
            held.used = now;
        }
    }
    Route::Send {
        upstream: engine.spec.upstream,
        instance,
    }
}
