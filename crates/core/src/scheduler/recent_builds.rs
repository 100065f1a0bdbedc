use {
    crate::{
        clock::Millis,
        ids::{BuildId, ServiceId},
    },
    std::collections::HashMap,
};

/// How long a build counts after the last entry that named it: longer than a stream lasts.
const RETENTION: Millis = Millis(60_000);

/// The builds of which each service has had upstreams lately.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentBuilds {
    last_seen: HashMap<ServiceId, Vec<(BuildId, Millis)>>,
}

impl RecentBuilds {
    /// Records that an upstream of a service has, or had until now, this build.
    pub(super) fn note(
        &mut self,
        service: ServiceId,
        build: BuildId,
        now: Millis,
    ) {
        let seen = self.last_seen.entry(service).or_default();
        match seen.iter_mut().find(|(known, _)| *known == build) {
            Some((_, at)) => *at = now,
            None => seen.push((build, now)),
        }
    }

    /// Whether another build than `build` has been in service lately.
    pub(super) fn has_other(
        &self,
        service: ServiceId,
        build: BuildId,
        now: Millis,
    ) -> bool {
        let seen = self.last_seen.get(&service).map_or(&[][..], Vec::as_slice);
        seen.iter()
            .any(|&(known, at)| known != build && now.since(at) < RETENTION)
    }
}
