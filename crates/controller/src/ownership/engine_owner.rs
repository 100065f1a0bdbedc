use {
    super::{EngineState, EngineTarget, ReportChange},
    crate::{
        clock::{ChangeNotifier, MonotonicClock},
        config::ConfigState,
        engines::{EngineReport, ReportReader},
        rights::LoadBudget,
    },
    jasmine_core::{
        clock::Millis,
        ids::{Fence, Holder, UpstreamId},
        ownership::{
            AcquireOutcome, AcquireRequest, OwnerAction, OwnerEvent, OwnerMachine, OwnerSettings,
            Ownership,
        },
        placement::Instance,
    },
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::oneshot, task::spawn_local, time::timeout},
};

/// Extra time beyond the requested wait before an acquire call is answered.
const REPLY_MARGIN: Millis = Millis(200);

/// Interval between reads of an engine report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Delay that batches load changes of several engines into one notification.
const LOAD_CHANGE_DELAY: Duration = Duration::from_millis(250);

/// Runs the ownership state machine: feeds it events and executes its actions.
pub struct EngineOwner {
    pub(super) clock: MonotonicClock,
    pub(super) config: Rc<ConfigState>,
    pub(super) budget: Rc<LoadBudget>,
    pub(super) machine: RefCell<OwnerMachine>,
    pub(super) engines: RefCell<BTreeMap<UpstreamId, EngineState>>,
    pending_acquires: RefCell<HashMap<(Holder, u64), oneshot::Sender<AcquireOutcome>>>,
    renewals: RefCell<Vec<UpstreamId>>,
    pub(super) orders: Cell<u64>,
    last_generation: Cell<u64>,
    is_raise_scheduled: Cell<bool>,
    /// Raised when the state of an engine that gateways see changes.
    pub changed: ChangeNotifier,
    /// Raised when the state machine requests a newer fencing token.
    pub renewal_requested: ChangeNotifier,
}

impl std::fmt::Debug for EngineOwner {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("OwnerDesk")
            .field("engines", &self.engines)
            .finish_non_exhaustive()
    }
}

impl EngineOwner {
    /// Creates an owner of no engines.
    pub fn new(
        clock: MonotonicClock,
        config: Rc<ConfigState>,
        budget: Rc<LoadBudget>,
        settings: OwnerSettings,
    ) -> Self {
        Self {
            clock,
            config,
            budget,
            machine: RefCell::new(OwnerMachine::new(settings)),
            engines: RefCell::default(),
            pending_acquires: RefCell::default(),
            renewals: RefCell::default(),
            orders: Cell::new(0),
            last_generation: Cell::new(0),
            is_raise_scheduled: Cell::new(false),
            changed: ChangeNotifier::new(),
            renewal_requested: ChangeNotifier::new(),
        }
    }

    /// Returns the fencing token of an engine, or `None` if it is not owned.
    pub fn fence(
        &self,
        upstream: UpstreamId,
    ) -> Option<Fence> {
        self.machine.borrow().fence(upstream)
    }

    /// Returns the engines currently owned.
    pub fn owned(&self) -> Vec<UpstreamId> {
        self.engines.borrow().keys().copied().collect()
    }

    /// Returns the engines whose state changed after sequence number `have`.
    ///
    /// Returns all engines if `have` was not issued by this run: a gateway that restarted or followed
    /// an earlier run would otherwise never learn of engines that don't change.
    pub fn states_since(
        &self,
        have: u64,
    ) -> Vec<(UpstreamId, EngineState)> {
        let engines = self.engines.borrow();
        let all = !self.changed.has_issued(have);
        engines
            .iter()
            .filter(|(_, state)| all || state.last_change > have)
            .map(|(&upstream, state)| (upstream, state.clone()))
            .collect()
    }

    /// Returns the address and settings of an owned engine.
    pub fn target(
        &self,
        upstream: UpstreamId,
    ) -> Option<EngineTarget> {
        let engines = self.engines.borrow();
        engines.get(&upstream).map(|state| state.target)
    }

    /// Returns the instances that this gateway should release.
    pub fn recalls(
        &self,
        holder: Holder,
    ) -> Vec<Instance> {
        self.machine.borrow().recalls(holder)
    }

    /// Returns the number of orders sent so far.
    pub fn orders(&self) -> u64 {
        self.orders.get()
    }

    /// Removes and returns the engines that need a newer fencing token.
    pub fn take_renewals(&self) -> Vec<UpstreamId> {
        self.renewals.take()
    }

    /// Adds an engine, or sets a newer fencing token for an owned one.
    pub fn add_engine(
        self: &Rc<Self>,
        upstream: UpstreamId,
        fence: Fence,
        target: EngineTarget,
    ) {
        let generation = self.last_generation.get() + 1;
        self.last_generation.set(generation);
        let is_new = {
            let mut engines = self.engines.borrow_mut();
            let is_new = !engines.contains_key(&upstream);
            let state = engines
                .entry(upstream)
                .or_insert_with(|| EngineState::new(target, generation, fence));
            state.fence = fence;
            state.note_change(&self.changed);
            is_new
        };
        self.changed.raise();
        Line::new("engine_gained")
            .with("upstream", upstream)
            .with("fence", fence)
            .info();
        self.handle(OwnerEvent::OwnershipGained(Ownership {
            upstream,
            fence,
            checks_fencing: target.checks_fencing,
            slots: target.slots,
        }));
        if is_new {
            spawn_local(Rc::clone(self).poll_reports(upstream, generation));
        }
    }

    /// Removes an engine that was released or lost.
    pub fn remove_engine(
        self: &Rc<Self>,
        upstream: UpstreamId,
    ) {
        if self.engines.borrow_mut().remove(&upstream).is_some() {
            Line::new("engine_lost").with("upstream", upstream).info();
        }
        self.handle(OwnerEvent::OwnershipLost(upstream));
    }

    /// Requests an adapter version from the state machine for a gateway.
    pub async fn acquire(
        self: &Rc<Self>,
        ask: AcquireRequest,
    ) -> AcquireOutcome {
        let (tx, rx) = oneshot::channel();
        let limit = ask.wait + REPLY_MARGIN;
        self.pending_acquires
            .borrow_mut()
            .insert((ask.from, ask.ask), tx);
        self.handle(OwnerEvent::Acquire(ask));
        let outcome = timeout(limit.to_std(), rx).await;
        self.pending_acquires
            .borrow_mut()
            .remove(&(ask.from, ask.ask));
        match outcome {
            Ok(Ok(outcome)) => outcome,
            _ => AcquireOutcome::Loading,
        }
    }

    /// Feeds an event to the state machine and executes the resulting actions.
    pub fn handle(
        self: &Rc<Self>,
        event: OwnerEvent,
    ) {
        let actions = self.machine.borrow_mut().handle(event, self.clock.now());
        for action in actions {
            self.execute(&action);
        }
        self.refresh_resident();
    }

    fn execute(
        self: &Rc<Self>,
        action: &OwnerAction,
    ) {
        match *action {
            OwnerAction::OrderLoad { instance, fence } => {
                spawn_local(Rc::clone(self).load(instance, fence));
            }
            OwnerAction::OrderUnload { instance, fence } => {
                spawn_local(Rc::clone(self).unload(instance, fence));
            }
            OwnerAction::RaiseFence { upstream, fence } => {
                spawn_local(Rc::clone(self).raise_fence(upstream, fence));
            }
            OwnerAction::RenewFence(upstream) => {
                self.renewals.borrow_mut().push(upstream);
                self.renewal_requested.raise();
            }
            OwnerAction::RequestBudget(loads) => {
                spawn_local(Rc::clone(self).request_budget(loads));
            }
            OwnerAction::Reply { to, ask, outcome } => {
                let pending = self.pending_acquires.borrow_mut().remove(&(to, ask));
                // If the gateway has gone away, its later polls return the unused grant.
                if let Some(tx) = pending {
                    tx.send(outcome).unwrap_or_default();
                }
            }
            // Gateways receive recalls in the answers to their polls.
            OwnerAction::Recall { .. } => self.changed.raise(),
        }
    }

    async fn poll_reports(
        self: Rc<Self>,
        upstream: UpstreamId,
        generation: u64,
    ) {
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let Some(mut reader) = self.address(upstream, generation).map(ReportReader::new) else {
            return;
        };
        loop {
            ticks.tick().await;
            if self.address(upstream, generation).is_none() {
                return;
            }
            let report = reader.read().await.ok();
            self.note_report(upstream, report);
        }
    }

    /// Returns the address of an engine while it is owned under this claim.
    fn address(
        &self,
        upstream: UpstreamId,
        generation: u64,
    ) -> Option<SocketAddr> {
        let engines = self.engines.borrow();
        let state = engines.get(&upstream)?;
        (state.generation == generation).then_some(state.target.address)
    }

    fn note_report(
        self: &Rc<Self>,
        upstream: UpstreamId,
        report: Option<EngineReport>,
    ) {
        let event = {
            let mut engines = self.engines.borrow_mut();
            let Some(state) = engines.get_mut(&upstream) else {
                return;
            };
            let event = report.as_ref().map(|report| report.event(upstream));
            match state.note_report(report, self.clock.now()) {
                ReportChange::None => {}
                ReportChange::Load => {
                    state.note_change(&self.changed);
                    self.schedule_raise();
                }
                ReportChange::State => {
                    state.note_change(&self.changed);
                    self.changed.raise();
                }
            }
            event
        };
        if let Some(event) = event {
            self.handle(OwnerEvent::Reported(event));
        }
    }

    /// Announces load changes of all engines together after a short delay.
    ///
    /// Engines report at different times; without batching, each report would wake every gateway.
    fn schedule_raise(self: &Rc<Self>) {
        if self.is_raise_scheduled.replace(true) {
            return;
        }
        let engine_owner = Rc::clone(self);
        spawn_local(async move {
            tokio::time::sleep(LOAD_CHANGE_DELAY).await;
            engine_owner.is_raise_scheduled.set(false);
            engine_owner.changed.raise();
        });
    }

    fn refresh_resident(&self) {
        let machine = self.machine.borrow();
        let mut is_changed = false;
        for (&upstream, state) in self.engines.borrow_mut().iter_mut() {
            let resident = machine.resident(upstream);
            if state.resident != resident {
                state.resident = resident;
                state.note_change(&self.changed);
                is_changed = true;
            }
        }
        if is_changed {
            self.changed.raise();
        }
    }
}
