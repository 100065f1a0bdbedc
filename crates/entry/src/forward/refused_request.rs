use {
    crate::{caller::IncomingRequest, refusals::Rule},
    jasmine_core::error::{ErrorKind, Refusal},
    jasmine_platform::headers::CallerHeaders,
};

/// A request that may not be forwarded, with the reason.
#[derive(Clone, Debug)]
pub struct RefusedRequest {
    /// Why not.
    pub refusal: Refusal,
    /// The rule that it breaks.
    pub rule: Rule,
    /// The request as received.
    pub incoming: IncomingRequest,
    /// The decoded request headers.
    pub caller: CallerHeaders,
}

impl RefusedRequest {
    /// Refuses a request.
    pub(super) fn new(
        refusal: Refusal,
        incoming: IncomingRequest,
        caller: CallerHeaders,
    ) -> Self {
        Self {
            refusal,
            rule: Rule::of(refusal.kind, &incoming.head, &caller),
            incoming,
            caller,
        }
    }

    /// Whether it is refused for good by the configuration, rather than by what the request itself is.
    pub(super) fn is_by_config(&self) -> bool {
        let kind = self.refusal.kind;
        kind.is_final() && kind != ErrorKind::BadRequest
    }
}
