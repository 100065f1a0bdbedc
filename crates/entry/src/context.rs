//! State that the parts of the daemon share on its one thread.

use {
    crate::{
        clock::Clock,
        exchange_bytes::ByteGate,
        links::LinkMonitor,
        metrics::EntryMetrics,
        refusals::{JudgedBy, Rule},
        scheduling::SchedulerNode,
        store::{ConfigOrigin, Feed},
        streams::OriginDirectory,
        upstream::{Pool, ReadBudget},
    },
    jasmine_conf::settings::EntrySettings,
    jasmine_core::{
        byte_budget::ByteLimits,
        clock::Millis,
        error::Refusal,
        ingress::{
            CallerLimits, ConnectionAdmission, FinalAnswers, Finality, IdleTimeouts, IngressConfig,
        },
    },
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::{sync::watch, time::timeout},
};

/// Most bytes of pipelined requests that are buffered at once, but for the first of each connection.
const MAX_CALLER_BYTES: usize = 16 << 20;

/// How long a request waits for the first configuration of a VM that has just started.
///
/// After a start of all VMs no other one has a configuration either, and it arrives within half a second.
const FIRST_CONFIG_TIMEOUT: Millis = Millis(300);
/// How long a request waits for the store to confirm the configuration by which it would be refused for good.
///
/// At most a third of the time that its caller waits, which leaves time for another VM.
const MAX_CONFIRMATION_WAIT: Millis = Millis(400);

/// The stages of a planned stop, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// No stop was requested.
    #[default]
    Running,
    /// Readiness probes fail; requests are still served, and connections closed after each response.
    Leaving,
    /// Idle connections are closed and new requests refused.
    Closing,
    /// Requests that still wait for an upstream, or have not been received whole, are refused.
    RefusingWaiting,
    /// Requests that still run are ended.
    Ending,
}

/// The daemon's shared state.
#[derive(Debug)]
pub struct Context {
    /// The settings of the daemon.
    pub settings: EntrySettings,
    /// The clock for deadlines and leases.
    pub clock: Clock,
    /// Places requests on upstreams.
    pub scheduling: Rc<SchedulerNode>,
    /// The origins of the latest streams.
    pub origins: Rc<OriginDirectory>,
    /// Idle connections to upstreams.
    pub pool: Rc<Pool>,
    /// What is held of bodies and answers.
    pub bytes: ByteGate,
    /// What is buffered of callers' pipelined requests.
    pub caller_budget: ReadBudget,
    /// The state of the links to upstreams.
    pub links: Rc<LinkMonitor>,
    /// The metrics instruments.
    pub metrics: Rc<EntryMetrics>,
    config: watch::Sender<Option<Rc<IngressConfig>>>,
    config_origin: RefCell<Option<ConfigOrigin>>,
    final_answers: FinalAnswers,
    /// What is known of the store.
    pub feed: Rc<Feed>,
    /// The idle timeouts of earlier configurations.
    idle_timeouts: RefCell<IdleTimeouts>,
    stop: watch::Sender<StopStage>,
    in_flight: Cell<usize>,
    exchanges: Cell<usize>,
    connections: RefCell<ConnectionAdmission>,
    /// The longest delay of a task since it was last taken.
    longest_delay: Cell<Millis>,
    /// How late the latest task ran in the interval that ended last.
    last_delay: Cell<Millis>,
}

impl Context {
    /// Creates the state of a daemon that has no configuration yet and may open `max_files` files.
    pub fn new(
        max_files: usize,
        settings: EntrySettings,
        scheduling: Rc<SchedulerNode>,
        origins: Rc<OriginDirectory>,
        feed: Rc<Feed>,
        pool: Rc<Pool>,
        metrics: Rc<EntryMetrics>,
    ) -> Self {
        let vm_bytes = settings.bytes.vm_bytes(settings.size.memory_mb);
        let limits = ByteLimits::new(vm_bytes, settings.bytes.exchange_bytes());
        Self {
            bytes: ByteGate::new(limits),
            final_answers: FinalAnswers::new(settings.change_ms),
            links: Rc::new(LinkMonitor::new(&settings.data_centre, pool.share_budget())),
            settings,
            clock: Clock,
            scheduling,
            origins,
            pool,
            caller_budget: ReadBudget::new(MAX_CALLER_BYTES, MAX_CALLER_BYTES),
            metrics,
            config: watch::Sender::default(),
            config_origin: RefCell::default(),
            feed,
            idle_timeouts: RefCell::default(),
            stop: watch::Sender::default(),
            in_flight: Cell::new(0),
            exchanges: Cell::new(0),
            connections: RefCell::new(ConnectionAdmission::new(max_files)),
            longest_delay: Cell::new(Millis::ZERO),
            last_delay: Cell::new(Millis::ZERO),
        }
    }

    /// The current configuration; none until the first one is read.
    pub fn config(&self) -> Option<Rc<IngressConfig>> {
        self.config.borrow().clone()
    }

    /// What the answers of this VM are judged by.
    pub fn judged_by(&self) -> JudgedBy {
        let now = self.clock.now();
        JudgedBy {
            version: self.config().map_or(0, |config| config.version.0),
            origin: self.config_origin.borrow().clone(),
            config_age: self.config_age(),
            known_age: self.config_known_at().map(|at| now.since(at)),
            view_age: self.feed.complete_at().map(|at| now.since(at)),
            allowed_age: self.settings.change_ms,
        }
    }

    /// Logs a request that this VM refuses itself, and counts it if its caller takes that as final.
    pub fn log_refused(
        &self,
        id: Option<&str>,
        refusal: Refusal,
        rule: &Rule,
    ) {
        let judged_by = self.judged_by();
        judged_by.log_refused(id, refusal, rule);
        if refusal.kind.is_final() {
            self.metrics.count_final(refusal.kind, &judged_by);
        }
    }

    /// The configuration in force is that of the store at this time; `None` without one.
    fn config_known_at(&self) -> Option<Millis> {
        let known_at = self.feed.config().known_at();
        known_at.filter(|_| self.config.borrow().is_some())
    }

    /// Whether a request that arrived at `arrived` may be refused for good by the configuration that is in force after
    /// this call, which asks the store for a newer one if that is open.
    ///
    /// `patience` is how long the caller waits.
    pub async fn confirm_config(
        &self,
        arrived: Millis,
        patience: Option<Millis>,
    ) -> bool {
        let answers = self.final_answers;
        match answers.decide(arrived, self.config_known_at(), false) {
            Finality::Final => return true,
            Finality::Uncertain => drop(self.first_config().await),
            Finality::Confirm => {
                let since = answers.required_at(arrived);
                let wait = patience.map_or(MAX_CONFIRMATION_WAIT, |patience| {
                    MAX_CONFIRMATION_WAIT.min(Millis(patience.0 / 3))
                });
                self.feed.confirm_config(since, wait).await;
            }
        }
        answers.decide(arrived, self.config_known_at(), true) == Finality::Final
    }

    /// How long ago the current configuration was taken; `None` without one.
    pub fn config_age(&self) -> Option<Millis> {
        let origin = self.config_origin.borrow();
        origin
            .as_ref()
            .map(|it| self.clock.now().since(it.taken_at))
    }

    /// The current configuration; waits a moment for the first one.
    pub async fn first_config(&self) -> Option<Rc<IngressConfig>> {
        let mut config = self.config.subscribe();
        let first = config.wait_for(Option::is_some);
        let first = timeout(FIRST_CONFIG_TIMEOUT.to_std(), first).await;
        // Both the timeout and a closed channel mean no configuration.
        first.ok()?.ok()?.clone()
    }

    /// Subscribes to changes of the configuration.
    pub fn config_changes(&self) -> watch::Receiver<Option<Rc<IngressConfig>>> {
        self.config.subscribe()
    }

    /// The limits on callers' requests.
    pub fn caller_limits(&self) -> CallerLimits {
        self.config
            .borrow()
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.limits)
    }

    /// The longest idle timeout of callers' connections that was in force since `since`.
    pub fn longest_idle_timeout(
        &self,
        since: Millis,
    ) -> Millis {
        let current = self.caller_limits().idle_timeout;
        self.idle_timeouts.borrow().longest_since(since, current)
    }

    /// Applies a configuration, unless its version isn't newer than the current one.
    pub fn set_config(
        &self,
        config: IngressConfig,
        origin: ConfigOrigin,
    ) {
        let current = self.config().map(|current| current.version);
        if current.is_some_and(|version| version >= config.version) {
            return;
        }
        Line::new("config_taken")
            .with("version", config.version)
            .with("before", current.map_or(0, |version| version.0))
            .with("routes", config.routes.len())
            .with("source", &origin.source)
            .with("revision", origin.revision)
            .info();
        self.config_origin.replace(Some(origin));
        self.scheduling.local_scheduler.set_config(&config);
        let replaced = self.caller_limits().idle_timeout;
        self.idle_timeouts
            .borrow_mut()
            .replace(replaced, self.clock.now());
        self.config.send_replace(Some(Rc::new(config)));
    }

    /// Whether the load balancer may send callers to this VM.
    pub fn is_ready(&self) -> bool {
        self.config.borrow().is_some() && *self.stop.borrow() == StopStage::Running
    }

    /// The current stage of a planned stop.
    pub fn stop_stage(&self) -> StopStage {
        *self.stop.borrow()
    }

    /// Subscribes to changes of the stop stage.
    pub fn stop_changes(&self) -> watch::Receiver<StopStage> {
        self.stop.subscribe()
    }

    /// Waits until a planned stop has reached a stage.
    pub async fn stop_reached(
        &self,
        stage: StopStage,
    ) {
        let mut stop = self.stop_changes();
        if stop.wait_for(|&reached| reached >= stage).await.is_err() {
            // The channel closes only with this context.
            std::future::pending::<()>().await;
        }
    }

    /// Sets the stage of a planned stop.
    pub fn set_stop_stage(
        &self,
        stage: StopStage,
    ) {
        self.stop.send_replace(stage);
    }

    /// Takes a new connection of a caller until the returned guard is dropped; `None` if the VM takes none now.
    pub fn admit_connection(self: &Rc<Self>) -> Option<AdmittedConnection> {
        let now = self.clock.now();
        let is_admitted = self.connections.borrow_mut().admit(now);
        is_admitted.then(|| AdmittedConnection(Rc::clone(self)))
    }

    /// Records how late a task of this daemon has run.
    pub fn note_delay(
        &self,
        delay: Millis,
    ) {
        self.longest_delay.set(self.longest_delay.get().max(delay));
        let now = self.clock.now();
        if self.connections.borrow_mut().note_delay(delay, now) {
            Line::new("tasks_late").with("late_ms", delay).warn();
        }
    }

    /// Begins a new interval, and returns how late the latest task ran in the one that ends.
    pub fn end_delay_interval(&self) -> Millis {
        self.last_delay
            .set(self.longest_delay.replace(Millis::ZERO));
        self.last_delay.get()
    }

    /// How late the latest task ran in the interval that ended last.
    pub const fn last_delay(&self) -> Millis {
        self.last_delay.get()
    }

    /// Number of open connections of callers.
    pub fn open_connections(&self) -> usize {
        self.connections.borrow().open()
    }

    /// Number of callers' requests that are being served.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn count_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(Rc::clone(self))
    }

    /// Number of exchanges with callers and other VMs: from the first byte of a request until its answer is sent, or
    /// until the connection is closed that it ends.
    pub fn exchanges(&self) -> usize {
        self.exchanges.get()
    }

    /// Counts an exchange until the returned guard is dropped.
    pub fn count_exchange(self: &Rc<Self>) -> Exchange {
        self.exchanges.set(self.exchanges.get() + 1);
        Exchange(Rc::clone(self))
    }
}

/// Guard that counts one connection of a caller as open.
#[derive(Debug)]
pub struct AdmittedConnection(Rc<Context>);

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        self.0.connections.borrow_mut().close();
    }
}

/// Guard that counts one request as in flight.
#[derive(Debug)]
pub struct InFlight(Rc<Context>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Guard that counts one exchange.
#[derive(Debug)]
pub struct Exchange(Rc<Context>);

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.exchanges.set(self.0.exchanges.get() - 1);
    }
}
