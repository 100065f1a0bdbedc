use {
    crate::{
        brain::BrainHandle, clock::Clock, request::RequestName, status::Readiness,
        upstream::Connections,
    },
    jasmine_conf::{fleet::Fleet, settings::Limits},
    jasmine_core::ids::RequestId,
    jasmine_telemetry::metrics::{Metrics, Refusals, RequestMetrics},
    std::{
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::watch,
};

/// What all workers share.
#[derive(Debug)]
pub struct Shared {
    /// The way to the brain.
    pub brain: BrainHandle,
    /// The configuration in force.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Whether requests are taken.
    pub readiness: Arc<Readiness>,
    /// Bounds on callers.
    pub limits: Limits,
    /// The clock.
    pub clock: Clock,
    /// All figures.
    pub metrics: Metrics,
    /// Figures of requests.
    pub requests: RequestMetrics,
    /// Counters of refusals.
    pub refusals: Refusals,
    /// What makes ids of this process unlike those of all others.
    pub id_prefix: String,
    /// The last request's number.
    pub last_request_id: AtomicU64,
}

impl Shared {
    /// A number that no other request of this process has.
    pub fn next_request(&self) -> RequestId {
        RequestId(self.last_request_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// A name for a request whose caller gave none.
    pub fn generate_name(
        &self,
        request: RequestId,
    ) -> RequestName {
        RequestName::new(&self.id_prefix, request.0)
    }

    /// The configuration in force.
    pub fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(&self.fleet.borrow())
    }
}

/// What one worker thread has.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it shares with the others.
    pub shared: Arc<Shared>,
    /// Its own connections to upstreams.
    pub connections: Rc<Connections>,
}

impl Worker {
    /// A worker without open connections.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            connections: Rc::default(),
        }
    }
}

/// One request's place among those worked on at a time.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    readiness: Arc<Readiness>,
}

impl InFlightGuard {
    /// Takes a place; none when all are taken.
    pub(super) fn try_acquire(shared: &Shared) -> Option<Self> {
        shared
            .readiness
            .try_begin_request(shared.limits.max_in_flight)
            .then(|| Self {
                readiness: Arc::clone(&shared.readiness),
            })
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.readiness.end_request();
    }
}
