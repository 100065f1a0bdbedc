use crate::{clock::Millis, ids::ServiceId, rights::CallerTag};

/// A refused request for which a return time is wanted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnRequest {
    /// Identifies the request over all attempts of its caller.
    pub caller: CallerTag,
    /// Its service.
    pub service: ServiceId,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Its work, in the unit of the service's capacity.
    pub work: f64,
    /// Earliest time to come back.
    pub earliest: Millis,
    /// Until when it can still be on time.
    pub on_time_until: Millis,
    /// Latest time at which its caller comes back.
    pub latest: Millis,
}
