use {
    super::ServiceBuild,
    crate::{clock::Millis, ids::StreamId},
    std::collections::{HashMap, VecDeque},
};

/// How long the origin of a stream is kept: longer than its caller retries.
const RETENTION: Millis = Millis(60_000);
/// Most origins that are kept; the oldest go first.
const MAX_ORIGINS: usize = 100_000;

/// Index of a build of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BuildIndex(usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Build(BuildIndex),
    /// VMs have reported different builds.
    Contradictory,
}

/// The builds that began the latest streams.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    origins: HashMap<StreamId, Origin>,
    /// The streams in the order in which they were recorded.
    by_age: VecDeque<(Millis, StreamId)>,
    builds: Vec<ServiceBuild>,
}

impl StreamOrigins {
    /// Records that an upstream of this build wrote the first event of a stream.
    pub fn record(
        &mut self,
        stream: StreamId,
        build: &ServiceBuild,
        now: Millis,
    ) {
        self.forget_old(now);
        let origin = Origin::Build(self.index(build));
        match self.origins.get_mut(&stream) {
            Some(known) if *known != origin => *known = Origin::Contradictory,
            Some(_) => {}
            None => {
                self.origins.insert(stream, origin);
                self.by_age.push_back((now, stream));
            }
        }
    }

    /// The build that began a stream, if it is known.
    pub fn build_of(
        &self,
        stream: StreamId,
    ) -> Option<&ServiceBuild> {
        match self.origins.get(&stream)? {
            Origin::Build(BuildIndex(at)) => Some(&self.builds[*at]),
            Origin::Contradictory => None,
        }
    }

    /// Number of streams whose origins are kept.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    fn index(
        &mut self,
        build: &ServiceBuild,
    ) -> BuildIndex {
        let known = self.builds.iter().position(|known| known == build);
        BuildIndex(known.unwrap_or_else(|| {
            self.builds.push(build.clone());
            self.builds.len() - 1
        }))
    }

    fn forget_old(
        &mut self,
        now: Millis,
    ) {
        while let Some(&(at, stream)) = self.by_age.front()
            && (now.since(at) >= RETENTION || self.by_age.len() >= MAX_ORIGINS)
        {
            self.by_age.pop_front();
            self.origins.remove(&stream);
        }
    }
}
