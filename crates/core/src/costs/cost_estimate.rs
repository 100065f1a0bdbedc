/// Expected work of a request in milliseconds at usual pace: the time in a slot for a call, and the
/// time from the first event to the end for a generation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostEstimate {
    /// Expected work.
    pub mean_ms: f64,
    /// Standard deviation of the work.
    pub deviation_ms: f64,
}
