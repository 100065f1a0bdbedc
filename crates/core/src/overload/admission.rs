use super::WaitEstimate;

/// The decision about a request on its arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// It is expected to be on time.
    OnTime(WaitEstimate),
    /// It is expected to be served, but late.
    Late(WaitEstimate),
    /// It isn't expected to be served in its time.
    Refused(WaitEstimate),
}
