//! The builds of a service's upstreams.

use {
    super::{fleet::Fleet, upstream::Upstream},
    crate::{
        clock::Millis,
        ids::{BuildId, ServiceId, UpstreamId},
    },
};

impl Fleet {
    /// The only build of which a service has had upstreams lately; `None` if there were several, or
    /// there are none now.
    pub(super) fn only_build(
        &self,
        service: ServiceId,
        now: Millis,
    ) -> Option<BuildId> {
        let members = self.members(service).iter();
        let mut builds = members
            .filter_map(|id| self.upstreams.get(id))
            .map(Upstream::confirmed_build);
        let first = builds.next()??;
        let is_only = builds.all(|build| build == Some(first))
            && !self.recent_builds.has_other(service, first, now);
        is_only.then_some(first)
    }

    /// Requests an engine's report, as it may have restarted as another build.
    pub(super) fn check_run(
        &mut self,
        id: UpstreamId,
        now: Millis,
    ) {
        let service = self.upstreams.get(&id).map(|upstream| upstream.service);
        let has_several_builds =
            service.is_some_and(|service| self.only_build(service, now).is_none());
        if let Some(engine) = self.engine_mut(id)
            && has_several_builds
        {
            engine.check_view(now);
        }
    }
}
