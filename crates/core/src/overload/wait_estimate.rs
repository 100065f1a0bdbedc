use {super::QueueClass, crate::clock::Millis};

/// The expected wait of a request, with what it was computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitEstimate {
    /// Class of the request.
    pub class: QueueClass,
    /// Expected wait until it is sent.
    pub wait: Millis,
    /// Work that is served before it, in the unit of the service's capacity.
    pub work_ahead: f64,
    /// Capacity of the service per millisecond, as corrected by measurement.
    pub capacity: f64,
    /// Time since the capacity was last measured; `None` if it never was.
    pub capacity_age: Option<Millis>,
}
