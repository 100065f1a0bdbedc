/// Capacity of a service that may be promised to callers of a class, per millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReturnBudget {
    /// For callers that can still be on time when they come back.
    pub on_time: f64,
    /// For callers that will be late: what newcomers are expected to leave.
    pub late: f64,
}
