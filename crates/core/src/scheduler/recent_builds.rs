use {
    crate::{
        clock::Millis,
        ids::{BuildId, ServiceId},
    },
    std::collections::HashMap,
};

/// How long a software version counts after the last entry that named it: longer than streams last.
const RETENTION: Millis = Millis(60_000);

/// The software versions of which each service has had upstreams lately.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentBuilds {
    last_seen: HashMap<ServiceId, Vec<(BuildId, Millis)>>,
}

impl RecentBuilds {
    /// Records that an upstream of a service has, or had until now, this version.
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

    /// Whether a version other than `build` has been in service lately.
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
