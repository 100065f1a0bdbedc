use {super::Pace, crate::clock::Millis};

/// The load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at once; `None` if it doesn't say.
    pub slots: Option<u32>,
    /// How long work takes there now; `None` if it doesn't say.
    pub pace: Option<Pace>,
}

/// A [`LoadReport`] with the time at which a VM received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardLoad {
    /// The report.
    pub report: LoadReport,
    /// When it was received.
    pub heard_at: Millis,
}
