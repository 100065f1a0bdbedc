use super::{ServiceBuild, StreamOrigin};

/// The result of a lookup of a stream's origin at other VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginLookup {
    /// The build that began the stream, as this VM or another one has recorded it.
    pub recorded: Option<ServiceBuild>,
    /// Number of VMs that were asked.
    pub asked: usize,
    /// Number of these that answered, with or without a record.
    pub answered: usize,
}

impl OriginLookup {
    /// The origin of the stream for an attempt at `service`; `only_build` is the build of that service if it has had no
    /// other lately.
    ///
    /// A stream that began at another service, as its route has changed since, can't be resumed. Without a record, `only_build` counts only if half of the VMs answered: a partitioned VM may not have heard of
    /// another build.
    pub fn conclude(
        self,
        service: &str,
        only_build: Option<String>,
    ) -> StreamOrigin {
        let is_connected = self.answered * 2 >= self.asked;
        let build = match self.recorded {
            Some(recorded) => Some(recorded)
                .filter(|recorded| recorded.service == service)
                .map(|recorded| recorded.build),
            None => only_build.filter(|_| is_connected),
        };
        build.map_or(StreamOrigin::Unknown, StreamOrigin::Build)
    }
}
