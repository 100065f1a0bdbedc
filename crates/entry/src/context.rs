//! What the parts of the daemon share; all of it lives on one thread.

use {
    crate::{clock::Clock, metrics::EntryMetrics, scheduling::SchedulerNode, upstream::Pool},
    jasmine_conf::settings::EntrySettings,
    jasmine_core::{
        clock::Millis,
        ingress::{CallerLimits, IngressConfig},
    },
    jasmine_telemetry::log::Line,
    std::{cell::Cell, rc::Rc},
    tokio::{sync::watch, time::timeout},
};

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// Not begun.
    #[default]
    Running,
    /// The balancer is told; callers are still served and told to leave.
    Leaving,
    /// Idle connections are closed.
    Closing,
    /// What still waits for an upstream is sent elsewhere.
    Emptying,
}

/// The daemon's shared state.
#[derive(Debug)]
pub struct Context {
    /// The settings file.
    pub settings: EntrySettings,
    /// The time.
    pub clock: Clock,
    /// The way to a decision about a request.
    pub scheduling: Rc<SchedulerNode>,
    /// Connections to upstreams.
    pub pool: Rc<Pool>,
    /// What is counted.
    pub metrics: Rc<EntryMetrics>,
    config: watch::Sender<Option<Rc<IngressConfig>>>,
    stop: watch::Sender<StopStage>,
    in_flight: Cell<usize>,
}

impl Context {
    /// The state of a daemon that knows nothing yet.
    pub fn new(
        settings: EntrySettings,
        scheduling: Rc<SchedulerNode>,
        pool: Rc<Pool>,
        metrics: Rc<EntryMetrics>,
    ) -> Self {
        Self {
            settings,
            clock: Clock,
            scheduling,
            pool,
            metrics,
            config: watch::Sender::default(),
            stop: watch::Sender::default(),
            in_flight: Cell::new(0),
        }
    }

    /// The configuration in force, once there is one.
    pub fn config(&self) -> Option<Rc<IngressConfig>> {
        self.config.borrow().clone()
    }

    /// The configuration in force; where there is none yet, what comes within `wait`.
    pub async fn config_soon(
        &self,
        wait: Millis,
    ) -> Option<Rc<IngressConfig>> {
        let mut config = self.config.subscribe();
        let first = timeout(wait.to_std(), config.wait_for(Option::is_some)).await;
        // Either it didn't come in time, or this context, which sends it, is gone.
        first.ok()?.ok()?.clone()
    }

    /// What callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.config
            .borrow()
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.limits)
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn set_config(
        &self,
        config: IngressConfig,
    ) {
        let current = self.config().map(|current| current.version);
        if current.is_some_and(|version| version >= config.version) {
            return;
        }
        Line::new("config_taken")
            .with("version", config.version)
            .with("before", current.map_or(0, |version| version.0))
            .with("routes", config.routes.len())
            .info();
        self.scheduling.local_scheduler.set_config(&config);
        self.config.send_replace(Some(Rc::new(config)));
    }

    /// Whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && *self.stop.borrow() == StopStage::Running
    }

    /// How far a planned stop has come.
    pub fn stop_stage(&self) -> StopStage {
        *self.stop.borrow()
    }

    /// Changes of that.
    pub fn stop_changes(&self) -> watch::Receiver<StopStage> {
        self.stop.subscribe()
    }

    /// Ends when a planned stop has come to a stage.
    pub async fn stop_reached(
        &self,
        stage: StopStage,
    ) {
        let mut stop = self.stop_changes();
        if stop.wait_for(|&reached| reached >= stage).await.is_err() {
            // Only this context sends changes; without it nobody waits for one.
            std::future::pending::<()>().await;
        }
    }

    /// Goes on with a planned stop.
    pub fn set_stop_stage(
        &self,
        stage: StopStage,
    ) {
        self.stop.send_replace(stage);
    }

    /// Requests of callers that are being worked on.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a request for as long as the guard is kept.
    pub fn count_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(Rc::clone(self))
    }
}

/// Counts one request.
#[derive(Debug)]
pub struct InFlight(Rc<Context>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
