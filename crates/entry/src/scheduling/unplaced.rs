use jasmine_core::{error::Refusal, scheduler::WaitReason};

/// A request that gets no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unplaced {
    /// Why, and when its caller may come back.
    pub refusal: Refusal,
    /// What it waited for longest.
    pub waited_for: WaitReason,
}

impl From<Refusal> for Unplaced {
    /// It has not waited for anything but its turn.
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            waited_for: WaitReason::Turn,
        }
    }
}
