use {
    super::WaitEstimate,
    crate::{
        ids::ServiceId,
        rights::CallerTag,
        scheduler::{AttemptId, WaitReason},
    },
};

/// A request that was refused by urgency, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedRecord {
    /// Identifies the attempt on the forwarding VM.
    pub attempt_id: AttemptId,
    /// Identifies the request over all attempts of its caller.
    pub caller: CallerTag,
    /// Its service.
    pub service: ServiceId,
    /// What the refusal rests on.
    pub estimate: WaitEstimate,
    /// The reason that it waited for longest; `None` if it was refused on arrival.
    pub waited_for: Option<WaitReason>,
}
