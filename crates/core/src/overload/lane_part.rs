/// The parts of a class, in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LanePart {
    /// Requests that came back at the time promised to their callers.
    Returned,
    /// Requests that can be on time.
    OnTime,
    /// Requests that can no longer be on time.
    Late,
}
