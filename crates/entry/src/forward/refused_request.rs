use {
    crate::caller::IncomingRequest,
    jasmine_core::error::{ErrorKind, Refusal},
    jasmine_platform::headers::CallerHeaders,
};

/// A request that may not be forwarded, with the reason.
#[derive(Clone, Debug)]
pub struct RefusedRequest {
    /// Why not.
    pub refusal: Refusal,
    /// The request as received.
    pub incoming: IncomingRequest,
    /// The decoded request headers.
    pub caller: CallerHeaders,
}

impl RefusedRequest {
    /// Whether it is refused for good by the configuration, rather than by what the request itself is.
    pub(super) fn is_by_config(&self) -> bool {
        let kind = self.refusal.kind;
        kind.is_final() && kind != ErrorKind::BadRequest
    }
}
