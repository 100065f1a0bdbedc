use {
    crate::http1::RequestHead,
    jasmine_core::{
        error::{ErrorKind, Refusal},
        ingress::{AccountSpec, IngressConfig, IngressRoute, allowed_data_centres},
    },
    jasmine_platform::headers::CallerHeaders,
    std::{collections::BTreeMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Where a request may go by the configuration.
#[derive(Clone, Debug)]
pub(super) struct Routing<'a> {
    /// The matching route.
    pub route: &'a Arc<IngressRoute>,
    /// The client account of the API key.
    pub account: Option<&'a AccountSpec>,
    /// The service that the route selects.
    pub service: &'a str,
    /// Data centres whose upstreams may serve it; empty if any may.
    pub allowed_data_centres: Vec<&'a str>,
}

impl<'a> Routing<'a> {
    /// Routes and authenticates a request.
    ///
    /// # Errors
    ///
    /// The refusal: no route or service, a missing or unknown key, or no request id.
    pub(super) fn of(
        head: &RequestHead,
        caller: &CallerHeaders,
        config: &'a IngressConfig,
        regions: &'a BTreeMap<String, String>,
    ) -> Result<Self, Refusal> {
        let refuse = |kind| Err(Refusal::new(kind));
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
        // A resumption goes to the service that the first attempt had.
        let split_key = caller.resumes.as_ref().unwrap_or(id);
        let Some(service) = route.service_for(xxh3_64(split_key.as_bytes())) else {
            return refuse(ErrorKind::NoUpstream);
        };
        let account_regions = account.map_or(&[][..], |account| &account.allowed_regions);
        let allowed = allowed_data_centres(&[&route.allowed_regions, account_regions], regions);
        if allowed.as_ref().is_some_and(Vec::is_empty) {
            return refuse(ErrorKind::RegionUnavailable);
        }
        Ok(Self {
            route,
            account,
            service,
            allowed_data_centres: allowed.unwrap_or_default(),
        })
    }
}
