use {
    crate::{
        caller::IncomingRequest,
        scheduling::{GenerationSpec, JobSpec},
    },
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ingress::{CallKind, IngressConfig, IngressRoute},
    },
    jasmine_platform::headers::CallerHeaders,
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64,
};

/// A request that may be forwarded: its route allows it and its key is good.
#[derive(Clone, Debug)]
pub struct ForwardRequest {
    /// What arrived.
    pub incoming: IncomingRequest,
    /// What its headers say.
    pub caller: CallerHeaders,
    /// Its route.
    pub route: Arc<IngressRoute>,
    /// The service that its route gives it to.
    pub service: String,
    /// Whether that service has engines.
    pub is_generation: bool,
    /// The client account that its key belongs to.
    pub account: Option<String>,
    /// Its rank, 0 first.
    pub priority: u8,
    /// What it costs the account.
    pub cost: u64,
    /// The configuration that it was judged by.
    pub config_version: u64,
    /// When it had arrived.
    pub arrived: Millis,
    /// When nobody waits for it any more.
    pub deadline: Millis,
}

impl ForwardRequest {
    /// Judges a request by a configuration.
    ///
    /// # Errors
    ///
    /// The refusal: no such route, no such key, or no name for the request.
    pub fn judge(
        incoming: IncomingRequest,
        caller: CallerHeaders,
        config: &IngressConfig,
        now: Millis,
    ) -> Result<Self, Refusal> {
        let refuse = |kind| Err(Refusal::new(kind));
        let head = &incoming.head;
        let Some(route) = config.routes.find(head.host(), &head.target) else {
            return refuse(ErrorKind::NotFound);
        };
        let account = match &caller.key {
            _ if route.is_public || !config.needs_keys() => None,
            None => return refuse(ErrorKind::KeyMissing),
            Some(key) => match config.account_of(key) {
                None => return refuse(ErrorKind::KeyUnknown),
                Some(account) => Some(account),
            },
        };
        let Some(id) = &caller.request_id else {
            return refuse(ErrorKind::BadRequest);
        };
        let Some(service) = route.service_for(xxh3_64(id.as_bytes())) else {
            return refuse(ErrorKind::NoUpstream);
        };
        let spec = config.services.get(service);
        let patience = caller.patience.unwrap_or(route.timeout);
        Ok(Self {
            service: service.to_owned(),
            is_generation: spec.is_some_and(|spec| spec.engine.is_some()),
            priority: account
                .and_then(|account| account.priority)
                .unwrap_or(route.priority),
            cost: account.map_or(0, |account| account.cost(caller.stated_tokens())),
            account: account.map(|account| account.name.clone()),
            config_version: config.version.0,
            arrived: now,
            deadline: now + patience.min(route.timeout),
            route: Arc::clone(route),
            incoming,
            caller,
        })
    }

    /// Whether its answer is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.route.kind.is_stream()
    }

    /// Whether another upstream can go on with its stream.
    pub fn is_resumable(&self) -> bool {
        self.route.kind == CallKind::Stream { resumable: true }
    }

    /// What is told to whoever decides about it.
    pub fn job(
        &self,
        attempt: u32,
        avoid: &[String],
        data_centre: &str,
        now: Millis,
    ) -> JobSpec {
        let objective = self.arrived + self.route.objective;
        JobSpec {
            number: 0,
            account: self.account.clone(),
            caller: self.tag(),
            cost: self.cost,
            service: self.service.clone(),
            generation: self.generation(),
            priority: self.priority,
            objective: objective.since(now),
            gap_objective: self.route.gap_objective,
            deadline: self.deadline.since(now),
            attempt,
            avoid: avoid.to_vec(),
            data_centre: data_centre.to_owned(),
        }
    }

    fn generation(&self) -> Option<GenerationSpec> {
        let model = self.caller.model.clone().filter(|_| self.is_generation)?;
        Some(GenerationSpec {
            model,
            adapter: self.caller.adapter.clone(),
            size: self.caller.size.unwrap_or_default(),
            parts: self.caller.parts.clone(),
        })
    }

    /// What makes a caller known that comes back after a refusal: it sends the same body to the same target
    /// with the same key, under another id.
    fn tag(&self) -> u64 {
        let key = self.caller.key.as_deref().unwrap_or_default();
        let target = &self.incoming.head.target;
        let parts = format!("{key}\n{target}\n{:?}", self.caller.parts);
        xxh3_64(parts.as_bytes()) ^ xxh3_64(&self.incoming.body)
    }
}
