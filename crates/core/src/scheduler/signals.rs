use crate::{clock::Millis, ids::UpstreamId, load_reports::HeardLoad};

/// What an upstream states about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamSignals {
    /// Requests per second that it takes from all VMs together; `None` if it states no limit.
    pub request_limit: Option<f64>,
    /// How long it wants no request from the VM that it turned away.
    pub rest: Option<Millis>,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Most rejections in a second that it bears without falling over; `None` if it isn't brittle.
    pub max_rejections: Option<u32>,
    /// Its load, if it reports it.
    pub load: Option<HeardLoad>,
}

/// How a response changed what is known of its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SignalChanges {
    /// The new request limit in requests per second, `Some(None)` if it has ended; `None` if it is
    /// unchanged.
    pub request_limit: Option<Option<f64>>,
    /// How long it wants no request from this VM, if it has just said so.
    pub rest: Option<Millis>,
    /// The new number of rejections that it bears, `Some(None)` if it is no longer brittle; `None` if
    /// that is unchanged.
    pub max_rejections: Option<Option<u32>>,
    /// Whether it is now known to be leaving and wasn't before.
    pub is_leaving: bool,
}

/// What an upstream has stated, as one VM tells it to a new scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct StatedUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Identifies its run.
    pub started_unix_ms: Option<u64>,
    /// What it has stated.
    pub signals: UpstreamSignals,
    /// How long ago the VM sent the last requests to it.
    pub sent_ago: Vec<Millis>,
    /// The upstream's base pace relative to its service, with the number of observations that it rests on.
    pub base_pace: Option<(f64, f64)>,
}

impl StatedUpstream {
    /// Whether the upstream reports its pace.
    pub(super) fn tells_pace(&self) -> bool {
        let load = self.signals.load;
        load.is_some_and(|load| load.report.pace.is_some())
    }
}
