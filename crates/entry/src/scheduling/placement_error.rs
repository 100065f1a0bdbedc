use jasmine_core::{error::Refusal, scheduler::WaitReason};

/// Refusal of a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementError {
    /// The error kind and the retry delay.
    pub refusal: Refusal,
    /// What the request waited for longest.
    pub waited_for: WaitReason,
}

impl From<Refusal> for PlacementError {
    /// Creates an error for a request that waited for nothing but its turn.
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            waited_for: WaitReason::Turn,
        }
    }
}
