use crate::ids::UpstreamId;

/// Load reports of an upstream that were ignored, as they can't be true.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ImplausibleReports {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Number of reports since the last time that they were told.
    pub count: u64,
}

/// How fast the upstreams with a pace estimate work, and how old the reports were that decisions used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceSummary {
    /// Upstreams whose pace takes effect.
    pub upstreams: u64,
    /// Least factor on the usual time of work, in percent.
    pub lowest_percent: u64,
    /// Greatest factor on the usual time of work, in percent.
    pub highest_percent: u64,
    /// Implausible reports so far.
    pub implausible: u64,
    /// Requests assigned to an upstream that had reported its load.
    pub decisions: u64,
    /// Sum of the ages of the newest reports at those, in milliseconds.
    pub report_age_ms: u64,
}
