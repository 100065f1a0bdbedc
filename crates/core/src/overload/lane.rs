use {super::QueueClass, crate::ids::ServiceId};

/// One part of the queue: requests of a class that can be on time, or those that can't any more.
///
/// Late requests wait behind those of their class that can be on time and ahead of less urgent
/// classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// Service of the requests.
    pub service: ServiceId,
    /// Their class.
    pub class: QueueClass,
    /// Whether they can no longer be on time.
    pub is_late: bool,
}
