use {
    super::{KnownBuilds, ServiceBuild, StreamOrigin},
    crate::clock::Millis,
};

/// How long a VM must have known all upstreams to resume a stream without a record of its origin.
///
/// Before, the build that began the stream may have left service unnoticed.
const MIN_COMPLETE: Millis = Millis(15_000);

/// The result of a lookup of a stream's origin at other VMs; none is asked if the caller doesn't name its attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginLookup {
    /// Where the stream began, as this VM or another one has recorded it.
    pub recorded: Option<ServiceBuild>,
    /// Number of VMs that were asked.
    pub asked: usize,
    /// Number of these that answered, with or without a record.
    pub answered: usize,
    /// Whether the store was read and holds no stream of the service; VMs store them while there are several builds.
    pub is_none_stored: bool,
}

impl OriginLookup {
    /// The origin of the stream for an attempt at `service`, of which this VM knows the builds in `known`.
    ///
    /// A stream that began at another service, as its route has changed since, can't be resumed. Without a record the
    /// service's only build counts, if it is confirmed that there is no other now, half of the VMs asked answered, and
    /// either none of its streams is stored, or the upstreams have been known for long enough, as another build may
    /// otherwise have escaped this VM.
    pub fn conclude(
        self,
        service: &str,
        known: KnownBuilds,
    ) -> StreamOrigin {
        let is_connected = self.answered * 2 >= self.asked;
        let is_complete = match known.complete_for {
            Some(time) => self.is_none_stored || time >= MIN_COMPLETE,
            None => false,
        };
        let build = match self.recorded {
            Some(recorded) => recorded.build.filter(|_| recorded.service == service),
            None if known.is_confirmed && is_connected && is_complete => known.only,
            None => None,
        };
        build.map_or(StreamOrigin::Unknown, StreamOrigin::Build)
    }
}
