use {
    super::{Admission, Arrival, QueueClass, QueuedWork, WaitEstimate, service_load::ServiceLoad},
    crate::{clock::Millis, ids::ServiceId, return_times::ReturnBudget},
    std::collections::HashMap,
};

/// The load of all services with classes, and the decisions that follow from it.
///
/// `nominal` is the capacity of the service per millisecond, computed from the speed of its
/// upstreams.
#[derive(Clone, Debug, Default)]
pub struct OverloadControl {
    services: HashMap<ServiceId, ServiceLoad>,
}

impl OverloadControl {
    /// Decides about a request on its arrival.
    pub fn admit(
        &mut self,
        service: ServiceId,
        arrival: &Arrival,
        nominal: f64,
        now: Millis,
    ) -> Admission {
        let load = self.services.entry(service).or_default();
        load.admit(arrival, nominal, now)
    }

    /// The expected wait of a queued request that can no longer be on time.
    pub fn demoted_estimate(
        &self,
        service: ServiceId,
        arrival: &Arrival,
        now: Millis,
    ) -> Option<WaitEstimate> {
        let load = self.services.get(&service)?;
        Some(load.demoted_estimate(arrival, now))
    }

    /// The capacity that may be promised to refused callers of a class.
    pub fn return_budget(
        &self,
        service: ServiceId,
        class: QueueClass,
        now: Millis,
    ) -> ReturnBudget {
        let load = self.services.get(&service);
        load.map_or_else(ReturnBudget::default, |load| load.return_budget(class, now))
    }

    /// Records a request that was queued.
    pub fn note_queued(
        &mut self,
        service: ServiceId,
        queued: &mut QueuedWork,
        nominal: f64,
        now: Millis,
    ) {
        let load = self.services.entry(service).or_default();
        load.note_queued(queued, nominal, now);
    }

    /// Records whether a queued request competes for the capacity of its service.
    pub fn note_competing(
        &mut self,
        service: ServiceId,
        queued: &mut QueuedWork,
        competes: bool,
        nominal: f64,
        now: Millis,
    ) {
        if let Some(load) = self.services.get_mut(&service) {
            load.note_competing(queued, competes, nominal, now);
        }
    }

    /// Records that a queued request can no longer be on time.
    pub fn note_late(
        &mut self,
        service: ServiceId,
        queued: &mut QueuedWork,
    ) {
        if let Some(load) = self.services.get_mut(&service) {
            load.note_late(queued);
        }
    }

    /// Records that a request left the queue, to run or not.
    pub fn note_removed(
        &mut self,
        service: ServiceId,
        queued: &QueuedWork,
        has_run: bool,
        nominal: f64,
        now: Millis,
    ) {
        if let Some(load) = self.services.get_mut(&service) {
            load.note_removed(queued, has_run, nominal, now);
        }
    }
}
