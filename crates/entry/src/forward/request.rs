use {
    super::{RefusedRequest, fingerprint::fingerprint, routing::Routing},
    crate::{
        caller::IncomingRequest,
        scheduling::{GenerationSpec, JobSpec, LocalScheduler},
    },
    jasmine_core::{
        clock::Millis,
        ingress::{CallKind, IngressConfig, IngressRoute},
        scheduler::NewestVersion,
    },
    jasmine_platform::headers::CallerHeaders,
    std::{collections::BTreeMap, sync::Arc},
};

/// One attempt of a request, as far as its earlier ones decide about it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptSpec<'a> {
    /// Its number, from 1.
    pub number: u32,
    /// Upstreams that have failed the request.
    pub excluded_upstreams: &'a [String],
    /// The only upstreams that may serve it; empty if any may.
    pub allowed_upstreams: &'a [String],
    /// The only build of upstreams that may serve it.
    pub build: Option<&'a str>,
    /// Whether the caller has a part of the answer already.
    pub has_begun: bool,
    /// Whether the last excluded upstream is silent and still works on the request.
    pub is_hedge: bool,
}

/// A request that may be forwarded: it has a route and, if needed, a valid API key.
#[derive(Clone, Debug)]
pub struct ForwardRequest {
    /// The request as received.
    pub incoming: IncomingRequest,
    /// The decoded request headers.
    pub caller: CallerHeaders,
    /// Identifies the request over all attempts of its caller.
    pub fingerprint: u64,
    /// The matching route.
    pub route: Arc<IngressRoute>,
    /// The service that the route selects.
    pub service: String,
    /// Whether the service consists of engines.
    pub is_generation: bool,
    /// The client account of the API key.
    pub account: Option<String>,
    /// Data centres whose upstreams may serve it; empty if any may.
    pub allowed_data_centres: Vec<String>,
    /// The priority, 0 is the highest.
    pub priority: u8,
    /// The cost charged to the account, in the account's unit.
    pub cost: u64,
    /// The version of the configuration that was applied.
    pub config_version: u64,
    /// When the request had been read.
    pub arrived: Millis,
    /// When the caller stops waiting.
    pub deadline: Millis,
}

impl ForwardRequest {
    /// The newest announced version of its adapter, as far as this VM knows.
    pub(super) fn newest_version(
        &self,
        local_scheduler: &LocalScheduler,
    ) -> Option<NewestVersion> {
        let (model, adapter) = (self.caller.model.as_ref()?, self.caller.adapter.as_ref()?);
        local_scheduler.newest_version(model, adapter)
    }

    /// Routes and authenticates a request.
    ///
    /// # Errors
    ///
    /// The request with its refusal: no route or service, a missing or unknown key, or no request id.
    pub fn from_incoming(
        incoming: IncomingRequest,
        caller: CallerHeaders,
        config: &IngressConfig,
        regions: &BTreeMap<String, String>,
        now: Millis,
    ) -> Result<Self, Box<RefusedRequest>> {
        let routing = match Routing::of(&incoming.head, &caller, config, regions) {
            Ok(routing) => routing,
            Err(refusal) => return Err(Box::new(RefusedRequest::new(refusal, incoming, caller))),
        };
        let Routing {
            route,
            account,
            service,
            allowed_data_centres,
        } = routing;
        let allowed = allowed_data_centres.into_iter();
        let spec = config.services.get(service);
        let max_wait = caller.max_wait.unwrap_or(route.timeout);
        Ok(Self {
            service: service.to_owned(),
            allowed_data_centres: allowed.map(str::to_owned).collect(),
            is_generation: spec.is_some_and(|spec| spec.engine.is_some()),
            priority: account
                .and_then(|account| account.priority)
                .unwrap_or(route.priority),
            cost: account.map_or(0, |account| account.cost(caller.stated_tokens())),
            account: account.map(|account| account.name.clone()),
            config_version: config.version.0,
            arrived: now,
            deadline: now + max_wait.min(route.timeout),
            fingerprint: fingerprint(&incoming, &caller, account.map(|it| it.name.as_str())),
            route: Arc::clone(route),
            incoming,
            caller,
        })
    }

    /// Its id in the log.
    pub fn id(&self) -> &str {
        self.caller.request_id.as_deref().unwrap_or("-")
    }

    /// Its fingerprint in the log.
    pub fn fingerprint_text(&self) -> String {
        format!("{:016x}", self.fingerprint)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.route.kind.is_stream()
    }

    /// Whether another upstream can resume the stream.
    pub fn is_resumable(&self) -> bool {
        self.route.kind == CallKind::Stream { resumable: true }
    }

    /// Whether the caller resumes a stream that an earlier attempt of it began.
    pub fn is_resumption(&self) -> bool {
        self.is_stream() && (self.caller.last_event.is_some() || self.caller.resumes.is_some())
    }

    /// Builds the scheduler's description of an attempt.
    pub(super) fn job_spec(
        &self,
        attempt: &AttemptSpec<'_>,
        data_centre: &str,
        now: Millis,
    ) -> JobSpec {
        let objective = self.arrived + self.route.objective;
        JobSpec {
            number: 0,
            account: self.account.clone(),
            caller: self.fingerprint,
            cost: self.cost,
            service: self.service.clone(),
            route: self.route.name.clone(),
            generation: self.generation(),
            priority: self.priority,
            route_priority: self.route.priority,
            objective: objective.since(now),
            gap_objective: self.route.gap_objective,
            deadline: self.deadline.since(now),
            body_bytes: u32::try_from(self.incoming.body.len()).unwrap_or(u32::MAX),
            attempt: attempt.number,
            excluded_upstreams: attempt.excluded_upstreams.to_vec(),
            allowed_upstreams: attempt.allowed_upstreams.to_vec(),
            has_begun: attempt.has_begun,
            is_hedge: attempt.is_hedge,
            data_centre: data_centre.to_owned(),
            allowed_data_centres: self.allowed_data_centres.clone(),
            build: attempt.build.map(str::to_owned),
        }
    }

    /// The generation that it asks for; `None` for a plain call.
    pub(super) fn generation(&self) -> Option<GenerationSpec> {
        let caller = Some(&self.caller).filter(|_| self.is_generation)?;
        GenerationSpec::from_headers(caller)
    }
}
