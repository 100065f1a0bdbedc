use {
    super::{LanePart, QueueClass},
    crate::{ids::AccountId, scheduler::WaitReason},
};

/// What a queued request adds to the load of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedWork {
    /// Its class.
    pub class: QueueClass,
    /// The account under which its work is counted.
    pub account: AccountId,
    /// Its work, in the unit of the service's capacity.
    pub work: f64,
    /// The part of its class in which it waits.
    pub part: LanePart,
    /// Whether it is late, but keeps its place as it would hardly be served behind the others.
    pub is_overdue: bool,
    /// Whether it competes for the capacity of the service; not while it waits for its adapter.
    pub competes: bool,
}

impl QueuedWork {
    /// Whether it can no longer be on time.
    pub fn is_late(&self) -> bool {
        self.part == LanePart::Late
    }

    /// Whether a request that waits for this reason competes for the capacity of its service.
    ///
    /// A load of one adapter takes its time whatever the others do, so its requests don't show that
    /// the service is full.
    pub const fn is_competing(reason: WaitReason) -> bool {
        match reason {
            WaitReason::Load | WaitReason::Order | WaitReason::Trial | WaitReason::NoUpstream => {
                false
            }
            WaitReason::Turn
            | WaitReason::CallSlot
            | WaitReason::Prefill
            | WaitReason::Memory
            | WaitReason::AdapterSlot
            | WaitReason::ColdUpstream
            | WaitReason::RequestLimit => true,
        }
    }
}
