use crate::{clock::Millis, ids::ServiceId, rights::CallerTag};

/// A time at which a refused caller is to come back, with the capacity kept for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnPromise {
    /// Identifies the request over all attempts of its caller.
    pub caller: CallerTag,
    /// Its service.
    pub service: ServiceId,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// When it is to come back.
    pub due: Millis,
    /// Its work, in the unit of the service's capacity.
    pub work: f64,
}
