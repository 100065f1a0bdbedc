use {
    super::{Scheduling, convert::News},
    jasmine_core::scheduler::{Outcome, WaitReason},
    std::{cell::Cell, net::SocketAddr, rc::Rc},
};

/// A place at an upstream that a request was given. Dropped without an end it counts as abandoned: the
/// caller has gone, and what was reserved is free again.
#[derive(Debug)]
pub struct Placement {
    scheduling: Rc<Scheduling>,
    number: u64,
    /// The upstream's id.
    pub upstream: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The adapter's version that may run it, where an operator has named one.
    pub version: Option<u32>,
    /// What the request waited for longest.
    pub waited_for: WaitReason,
    has_ended: Cell<bool>,
}

impl Placement {
    pub(super) fn new(
        scheduling: Rc<Scheduling>,
        number: u64,
        upstream: String,
        address: SocketAddr,
        version: Option<u32>,
        waited_for: WaitReason,
    ) -> Self {
        Self {
            scheduling,
            number,
            upstream,
            address,
            version,
            waited_for,
            has_ended: Cell::new(false),
        }
    }

    /// Tells that the first event of the answer was seen.
    pub fn first_event(&self) {
        self.scheduling.note(self.number, News::FirstEvent);
    }

    /// Tells how it ended; only the first word counts.
    pub fn end(
        &self,
        outcome: Outcome,
    ) {
        if !self.has_ended.replace(true) {
            self.scheduling.note(self.number, News::Ended(outcome));
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.end(Outcome::Abandoned);
    }
}
