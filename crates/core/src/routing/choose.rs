use {
    super::{
        Route, Router, Target, UpstreamSpecKind,
        adapter_entry::{AdapterEntry, PendingAcquire},
        engine::Engine,
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, AdapterVersion, ModelId, UpstreamId},
        placement::{Instance, preferred, rendezvous_score},
    },
};

/// Number of engines that a gateway considers for an adapter that is not loaded.
const MAX_PREFERRED_ENGINES: usize = 8;

/// Requests are refused temporarily after the adapter's load has failed on this many engines.
const MAX_FAILED_ENGINES: usize = 2;

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
                self.send_to_best(best, !engines.is_empty(), now)
            }
            Target::Service(service) => {
                let servers = self.by_service.get(&service).map_or(&[][..], Vec::as_slice);
                let best = self.best(servers, None, now);
                self.send_to_best(best, !servers.is_empty(), now)
            }
        }
    }

    /// Decides where a request that has just failed at `excluded_upstream` is retried.
    ///
    /// A failing upstream looks idle until its breaker trips, so a retry goes to another one unless
    /// there is none.
    pub fn route_avoiding(
        &mut self,
        excluded_upstream: UpstreamId,
        target: Target,
        prefix: Option<u64>,
        account: AccountId,
        now: Millis,
    ) -> Route {
        self.excluded_upstream = Some(excluded_upstream);
        let route = self.route(target, prefix, account, now);
        self.excluded_upstream = None;
        route
    }

    fn send_to_best(
        &mut self,
        best: Option<UpstreamId>,
        exists: bool,
        now: Millis,
    ) -> Route {
        let Some(upstream) = best else {
            let delay = exists.then_some(self.settings.min_breaker_delay);
            return Route::Refuse(Refusal {
                kind: ErrorKind::NoUpstream,
                retry_after: delay,
            });
        };
        let engine = self.engines.get_mut(&upstream).expect("just chosen");
        let is_engine = matches!(engine.spec.kind, UpstreamSpecKind::Engine { .. });
        if is_engine && engine.utilisation() >= self.settings.max_utilisation {
            return Route::Wait(self.settings.max_recheck_delay);
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
            .filter(|upstream| self.newest_grant(*upstream, adapter).is_some())
            .collect();
        if let Some(upstream) = self.best(&routable, prefix, now) {
            let instance = self.newest_grant(upstream, adapter);
            let engine = self.engines.get_mut(&upstream).expect("just chosen");
            if engine.utilisation() >= self.settings.max_utilisation {
                return Route::Wait(self.settings.max_recheck_delay);
            }
            return send(engine, instance, now);
        }
        self.acquire_adapter(adapter, now)
    }

    /// The newest instance of the adapter on an engine that this gateway may route to.
    pub(super) fn newest_grant(
        &self,
        upstream: UpstreamId,
        adapter: AdapterVersion,
    ) -> Option<Instance> {
        let engine = self.engines.get(&upstream)?;
        engine
            .held
            .iter()
            .rev()
            .find(|((of, _), held)| *of == adapter && !held.is_recalled)
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
        let excluded_upstream = self
            .excluded_upstream
            .filter(|excluded| candidates().any(|engine| engine.spec.upstream != *excluded));
        let usable =
            || candidates().filter(|engine| Some(engine.spec.upstream) != excluded_upstream);
        let cost = |engine: &&Engine| engine.cost(&self.settings);
        let least = usable().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let Some(prefix) = prefix else {
            return Some(least.spec.upstream);
        };
        let bound = cost(&least) + self.settings.cost_tolerance;
        let affinity =
            |engine: &&Engine| rendezvous_score(prefix, u64::from(engine.spec.upstream.0), 1);
        usable()
            .filter(|engine| cost(engine) <= bound)
            .max_by(|a, b| affinity(a).total_cmp(&affinity(b)))
            .map(|engine| engine.spec.upstream)
    }

    fn acquire_adapter(
        &mut self,
        adapter: AdapterVersion,
        now: Millis,
    ) -> Route {
        let timeout = self.settings.acquire_timeout;
        let entry = self.adapters.get_mut(&adapter).expect("just routed");
        entry
            .pending
            .retain(|pending| now.since(pending.since) < timeout);
        entry.avoided.retain(|avoid| now < avoid.until);
        if !entry.pending.is_empty() {
            return Route::Wait(self.settings.max_recheck_delay);
        }
        if entry.failed_loads(now) >= MAX_FAILED_ENGINES {
            let left = entry.time_until_retry(now).unwrap_or_default();
            return Route::Refuse(Refusal::after(ErrorKind::AdapterLoadFailed, left));
        }
        match self.engine_to_acquire_on(adapter, now) {
            Some(upstream) => {
                let ask = self.start_acquire(adapter, upstream, now);
                Route::Acquire { upstream, ask }
            }
            None => self.no_engine_available(adapter, now),
        }
    }

    /// The engine to ask for an adapter: one that has or loads it, or else the most preferred one.
    pub(super) fn engine_to_acquire_on(
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
                    .is_some_and(|engine| engine.is_usable(now) && now >= engine.next_ask_at)
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
        if entry.preferred_version == self.upstreams_version {
            return;
        }
        let slots = self.slots.get(&entry.model).map_or(&[][..], Vec::as_slice);
        entry.preferred = preferred(adapter, slots, MAX_PREFERRED_ENGINES);
        entry.preferred_version = self.upstreams_version;
    }

    /// Allocates a request id and records the acquire request as pending.
    pub(super) fn start_acquire(
        &mut self,
        adapter: AdapterVersion,
        upstream: UpstreamId,
        now: Millis,
    ) -> u64 {
        self.ask += 1;
        let ask = self.ask;
        self.active.insert(adapter);
        if let Some(entry) = self.adapters.get_mut(&adapter) {
            entry.pending.push(PendingAcquire {
                upstream,
                ask,
                since: now,
            });
        }
        ask
    }

    /// The result if no engine may be asked now.
    fn no_engine_available(
        &self,
        adapter: AdapterVersion,
        now: Millis,
    ) -> Route {
        let entry = &self.adapters[&adapter];
        let any_usable = entry
            .preferred
            .iter()
            .any(|upstream| self.engines[upstream].is_usable(now));
        match (
            any_usable,
            entry.failed_loads(now) > 0,
            entry.time_until_retry(now),
        ) {
            (false, _, _) => Route::Refuse(Refusal::after(
                ErrorKind::NoUpstream,
                self.settings.min_breaker_delay,
            )),
            (true, true, Some(left)) => {
                Route::Refuse(Refusal::after(ErrorKind::AdapterLoadFailed, left))
            }
            (true, _, left) => {
                let max_recheck_delay = self.settings.max_recheck_delay;
                Route::Wait(left.map_or(max_recheck_delay, |left| left.min(max_recheck_delay)))
            }
        }
    }
}

fn send(
    engine: &mut Engine,
    instance: Option<Instance>,
    now: Millis,
) -> Route {
    engine.own_in_flight += 1;
    engine.breaker.record_sent();
    if let Some(instance) = instance {
        let key = (instance.adapter, instance.fence);
        if let Some(held) = engine.held.get_mut(&key) {
            held.in_flight += 1;
            held.last_used = now;
        }
    }
    Route::Send {
        upstream: engine.spec.upstream,
        instance,
    }
}
