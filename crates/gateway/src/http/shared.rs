use {
    crate::{
        clock::Clock, coordinator::CoordinatorHandle, request::RequestName, status::Readiness,
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

/// State shared by all worker threads.
#[derive(Debug)]
pub struct Shared {
    /// Handle for messages to the coordinator.
    pub coordinator: CoordinatorHandle,
    /// The current configuration.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Readiness and shutdown state.
    pub readiness: Arc<Readiness>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// The process-wide clock.
    pub clock: Clock,
    /// All metrics of the process.
    pub metrics: Metrics,
    /// Metrics of requests.
    pub requests: RequestMetrics,
    /// Counters of refused requests.
    pub refusals: Refusals,
    /// Prefix of request ids that is unique to this process.
    pub id_prefix: String,
    /// Number of the last request.
    pub last_request_id: AtomicU64,
}

impl Shared {
    /// Returns a request number that is unique within the process.
    pub fn next_request(&self) -> RequestId {
        RequestId(self.last_request_id.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Returns a name for a request whose caller sent none.
    pub fn generate_name(
        &self,
        request: RequestId,
    ) -> RequestName {
        RequestName::new(&self.id_prefix, request.0)
    }

    /// Returns the current configuration.
    pub fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(&self.fleet.borrow())
    }
}

/// State of one worker thread.
#[derive(Clone, Debug)]
pub struct Worker {
    /// State shared with the other workers.
    pub shared: Arc<Shared>,
    /// The thread's connections to upstreams.
    pub connections: Rc<Connections>,
}

impl Worker {
    /// Creates a worker without open connections.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            connections: Rc::default(),
        }
    }
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    readiness: Arc<Readiness>,
}

impl InFlightGuard {
    /// Counts a request; `None` if the in-flight limit is reached.
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
