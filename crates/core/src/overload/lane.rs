use {
    super::{LanePart, QueueClass},
    crate::ids::ServiceId,
};

/// One part of the queue: requests of a class and of one part of it.
///
/// Late requests wait behind those of their class that can be on time and ahead of less urgent
/// classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// Service of the requests.
    pub service: ServiceId,
    /// Their class.
    pub class: QueueClass,
    /// The part of the class.
    pub part: LanePart,
}
