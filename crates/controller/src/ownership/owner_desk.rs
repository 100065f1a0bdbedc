use {
    super::{EngineState, EngineTarget, News},
    crate::{
        clock::{OwnClock, Signal},
        config::ConfigKeeper,
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

/// How much longer than asked a gateway's question may stay open.
const REPLY_MARGIN: Millis = Millis(200);

/// How often an engine is asked for its report.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// How long a change of load alone waits for those of other engines.
const LOAD_PACE: Duration = Duration::from_millis(250);

/// Runs the owner's machine: hands it events and carries out what it wants.
pub struct OwnerDesk {
    pub(super) clock: OwnClock,
    pub(super) config: Rc<ConfigKeeper>,
    pub(super) budget: Rc<LoadBudget>,
    pub(super) machine: RefCell<OwnerMachine>,
    pub(super) engines: RefCell<BTreeMap<UpstreamId, EngineState>>,
    questions: RefCell<HashMap<(Holder, u64), oneshot::Sender<AcquireOutcome>>>,
    renewals: RefCell<Vec<UpstreamId>>,
    pub(super) orders: Cell<u64>,
    gains: Cell<u64>,
    is_telling: Cell<bool>,
    /// Raised when what gateways see of an engine changes.
    pub changed: Signal,
    /// Raised when the machine wants a newer fencing token.
    pub renew: Signal,
}

impl std::fmt::Debug for OwnerDesk {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("OwnerDesk")
            .field("engines", &self.engines)
            .finish_non_exhaustive()
    }
}

impl OwnerDesk {
    /// A desk that owns nothing yet.
    pub fn new(
        clock: OwnClock,
        config: Rc<ConfigKeeper>,
        budget: Rc<LoadBudget>,
        settings: OwnerSettings,
    ) -> Self {
        Self {
            clock,
            config,
            budget,
            machine: RefCell::new(OwnerMachine::new(settings)),
            engines: RefCell::default(),
            questions: RefCell::default(),
            renewals: RefCell::default(),
            orders: Cell::new(0),
            gains: Cell::new(0),
            is_telling: Cell::new(false),
            changed: Signal::new(),
            renew: Signal::new(),
        }
    }

    /// The fencing token under which an engine is owned.
    pub fn fence(
        &self,
        upstream: UpstreamId,
    ) -> Option<Fence> {
        self.machine.borrow().fence(upstream)
    }

    /// The engines owned now.
    pub fn owned(&self) -> Vec<UpstreamId> {
        self.engines.borrow().keys().copied().collect()
    }

    /// The engines that have changed since `have`, as gateways see them.
    ///
    /// All of them where `have` is no number of this run: who lost count would otherwise never hear
    /// of an engine that stays as it is.
    pub fn states_since(
        &self,
        have: u64,
    ) -> Vec<(UpstreamId, EngineState)> {
        let engines = self.engines.borrow();
        let all = !self.changed.knows(have);
        engines
            .iter()
            .filter(|(_, state)| all || state.change > have)
            .map(|(&upstream, state)| (upstream, state.clone()))
            .collect()
    }

    /// Where and how an owned engine takes orders.
    pub fn target(
        &self,
        upstream: UpstreamId,
    ) -> Option<EngineTarget> {
        let engines = self.engines.borrow();
        engines.get(&upstream).map(|state| state.target)
    }

    /// What this gateway should drop.
    pub fn recalls(
        &self,
        holder: Holder,
    ) -> Vec<Instance> {
        self.machine.borrow().recalls(holder)
    }

    /// Orders sent so far.
    pub fn orders(&self) -> u64 {
        self.orders.get()
    }

    /// The engines for which the machine wants a newer fencing token; each is handed out once.
    pub fn take_renewals(&self) -> Vec<UpstreamId> {
        self.renewals.take()
    }

    /// Takes over an engine, or a newer fencing token for it.
    pub fn gain(
        self: &Rc<Self>,
        upstream: UpstreamId,
        fence: Fence,
        target: EngineTarget,
    ) {
        let gained = self.gains.get() + 1;
        self.gains.set(gained);
        let is_new = {
            let mut engines = self.engines.borrow_mut();
            let is_new = !engines.contains_key(&upstream);
            let state = engines
                .entry(upstream)
                .or_insert_with(|| EngineState::new(target, gained, fence));
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
            spawn_local(Rc::clone(self).poll_reports(upstream, gained));
        }
    }

    /// Gives an engine up, or notes that it was lost.
    pub fn lose(
        self: &Rc<Self>,
        upstream: UpstreamId,
    ) {
        if self.engines.borrow_mut().remove(&upstream).is_some() {
            Line::new("engine_lost").with("upstream", upstream).info();
        }
        self.handle(OwnerEvent::OwnershipLost(upstream));
    }

    /// Asks the machine for an adapter version on behalf of a gateway.
    pub async fn acquire(
        self: &Rc<Self>,
        ask: AcquireRequest,
    ) -> AcquireOutcome {
        let (tx, rx) = oneshot::channel();
        let limit = ask.wait + REPLY_MARGIN;
        self.questions.borrow_mut().insert((ask.from, ask.ask), tx);
        self.handle(OwnerEvent::Acquire(ask));
        let outcome = timeout(limit.to_std(), rx).await;
        self.questions.borrow_mut().remove(&(ask.from, ask.ask));
        match outcome {
            Ok(Ok(outcome)) => outcome,
            _ => AcquireOutcome::Loading,
        }
    }

    /// Hands the machine an event and carries out what it wants.
    pub fn handle(
        self: &Rc<Self>,
        event: OwnerEvent,
    ) {
        let actions = self.machine.borrow_mut().handle(event, self.clock.now());
        for action in actions {
            self.carry_out(&action);
        }
        self.refresh_views();
    }

    fn carry_out(
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
                spawn_local(Rc::clone(self).raise(upstream, fence));
            }
            OwnerAction::RenewFence(upstream) => {
                self.renewals.borrow_mut().push(upstream);
                self.renew.raise();
            }
            OwnerAction::RequestBudget(loads) => {
                spawn_local(Rc::clone(self).ask_budget(loads));
            }
            OwnerAction::Reply { to, ask, outcome } => {
                let question = self.questions.borrow_mut().remove(&(to, ask));
                // A gateway that has gone away takes no answer; its grant comes back by its polls.
                if let Some(tx) = question {
                    tx.send(outcome).unwrap_or_default();
                }
            }
            // Gateways read recalls from the answers to their polls.
            OwnerAction::Recall { .. } => self.changed.raise(),
        }
    }

    async fn poll_reports(
        self: Rc<Self>,
        upstream: UpstreamId,
        gained: u64,
    ) {
        let mut ticks = tokio::time::interval(REPORT_EVERY);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let Some(mut reader) = self.address(upstream, gained).map(ReportReader::new) else {
            return;
        };
        loop {
            ticks.tick().await;
            if self.address(upstream, gained).is_none() {
                return;
            }
            let report = reader.read().await.ok();
            self.note_report(upstream, report);
        }
    }

    /// Where an engine listens, for as long as it is owned by this very gain.
    fn address(
        &self,
        upstream: UpstreamId,
        gained: u64,
    ) -> Option<SocketAddr> {
        let engines = self.engines.borrow();
        let state = engines.get(&upstream)?;
        (state.gained == gained).then_some(state.target.address)
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
                News::None => {}
                News::Load => {
                    state.note_change(&self.changed);
                    self.tell_soon();
                }
                News::State => {
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

    /// Makes changes of load alone known, those of all engines together.
    ///
    /// Each engine reports by a beat of its own; told one by one, every report would be an answer to
    /// every gateway.
    fn tell_soon(self: &Rc<Self>) {
        if self.is_telling.replace(true) {
            return;
        }
        let desk = Rc::clone(self);
        spawn_local(async move {
            tokio::time::sleep(LOAD_PACE).await;
            desk.is_telling.set(false);
            desk.changed.raise();
        });
    }

    fn refresh_views(&self) {
        let machine = self.machine.borrow();
        let mut is_news = false;
        for (&upstream, state) in self.engines.borrow_mut().iter_mut() {
            let resident = machine.resident(upstream);
            if state.resident != resident {
                state.resident = resident;
                state.note_change(&self.changed);
                is_news = true;
            }
        }
        if is_news {
            self.changed.raise();
        }
    }
}
