use {
    crate::caller::IncomingRequest, jasmine_core::error::Refusal,
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
