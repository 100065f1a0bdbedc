use {
    super::{
        JobSpec, Names, RunningSpec,
        facts::{engine_facts, engine_limits, facts_of},
    },
    crate::clock::Clock,
    jasmine_core::{
        clock::Millis,
        error::Refusal,
        ids::UpstreamId,
        ingress::{EngineHoldings, IngressConfig, UpstreamEntry},
        scheduler::{
            Adopted, Announcement, Order, OrderEnd, Outcome, OwnDecision, Rest, RightsShare,
            Scheduler, SchedulerAction as Action, SchedulerSettings, Ticket, WaitReason, WaitTimes,
        },
    },
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, HashSet},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::{Notify, mpsc, oneshot},
};

/// What the scheduler says to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send it there.
    Go {
        /// The upstream's id.
        upstream: String,
        /// Where it listens.
        address: SocketAddr,
        /// The adapter's version that may run it, where an operator has named one.
        version: Option<u32>,
        /// What it waited for longest.
        waited_for: WaitReason,
    },
    /// Answer it with a refusal; it has not run.
    Refused {
        /// Why, and when to come back.
        refusal: Refusal,
        /// What it waited for longest.
        waited_for: WaitReason,
    },
}

/// What is to be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineTask {
    /// An order, void unless the engine has accepted exactly so many before.
    Order(UpstreamId, Order, u64),
    /// A question for its report.
    Report(UpstreamId),
}

/// The scheduler's machine with its surroundings: names, waiting requests, engines to be ordered.
#[derive(Debug)]
pub struct Desk {
    clock: Clock,
    names: RefCell<Names>,
    machine: RefCell<Scheduler>,
    waiters: RefCell<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    addresses: RefCell<HashMap<UpstreamId, SocketAddr>>,
    /// Upstreams whose entries went.
    left: RefCell<HashSet<UpstreamId>>,
    tasks: mpsc::UnboundedSender<EngineTask>,
    wake: Notify,
    may_order: Cell<bool>,
}

impl Desk {
    /// A desk whose engine tasks go to `tasks`.
    pub fn new(
        settings: SchedulerSettings,
        tasks: mpsc::UnboundedSender<EngineTask>,
    ) -> Self {
        Self {
            clock: Clock,
            names: RefCell::default(),
            machine: RefCell::new(Scheduler::new(settings, RightsShare::Part(1))),
            waiters: RefCell::default(),
            addresses: RefCell::default(),
            left: RefCell::default(),
            tasks,
            wake: Notify::new(),
            may_order: Cell::new(false),
        }
    }

    /// Drives the machine's timers, for ever.
    pub async fn run(&self) {
        loop {
            let now = self.clock.now();
            let due = self.machine.borrow().wake_at(now).since(now);
            tokio::select! {
                () = tokio::time::sleep(due.to_std()) => {}
                () = self.wake.notified() => continue,
            }
            self.with(Scheduler::tick);
        }
    }

    /// Changes what is decided here.
    pub fn set_role(
        &self,
        may_order: bool,
        share: RightsShare,
    ) {
        self.may_order.set(may_order);
        let now = self.clock.now();
        self.machine.borrow_mut().set_role(may_order, share, now);
        self.wake.notify_one();
    }

    /// The scheduler before was an earlier run on this VM.
    pub fn continue_own_orders(&self) {
        let now = self.clock.now();
        self.machine.borrow_mut().continue_own_orders(now);
        self.wake.notify_one();
    }

    /// Takes from the scheduler before how long ago an engine had its last order.
    pub fn note_rested(
        &self,
        upstream: &str,
        rested: Millis,
    ) {
        let id = self.names.borrow_mut().upstream(upstream);
        let now = self.clock.now();
        self.machine.borrow_mut().note_rested(id, rested, now);
        self.wake.notify_one();
    }

    /// Gives some engines no more orders.
    pub fn rest(
        &self,
        engines: Rest,
    ) {
        self.machine.borrow_mut().rest(engines);
    }

    /// How long ago each engine had its last order.
    pub fn rested(&self) -> Vec<(String, Millis)> {
        let rested = self.machine.borrow().rested(self.clock.now());
        let names = self.names.borrow();
        rested
            .into_iter()
            .map(|(id, rested)| (names.upstream_name(id).to_string(), rested))
            .collect()
    }

    /// Whether this VM's machine gives orders.
    pub fn may_order(&self) -> bool {
        self.may_order.get()
    }

    /// Takes a configuration.
    pub fn set_config(
        &self,
        config: &IngressConfig,
    ) {
        let now = self.clock.now();
        let mut names = self.names.borrow_mut();
        let limits = config
            .accounts
            .iter()
            .filter_map(|account| Some((names.account(&account.name), account.limit?)))
            .collect();
        let engines = config
            .services
            .values()
            .filter_map(|service| {
                let limits = engine_limits(service.engine.as_ref()?, &mut names);
                Some((names.service(&service.name), limits))
            })
            .collect();
        let mut machine = self.machine.borrow_mut();
        machine.set_limits(limits, now);
        machine.set_engines(engines);
    }

    /// Takes an upstream's entry.
    pub fn set_upstream(
        &self,
        entry: &UpstreamEntry,
    ) {
        let (id, facts) = {
            let mut names = self.names.borrow_mut();
            let id = names.upstream(&entry.id);
            self.addresses.borrow_mut().insert(id, entry.address);
            self.left.borrow_mut().remove(&id);
            (id, facts_of(entry, &mut names))
        };
        self.with(|machine, now| machine.set_upstream(id, &facts, now));
    }

    /// Forgets an upstream.
    pub fn remove_upstream(
        &self,
        id: &str,
    ) {
        let id = self.names.borrow_mut().upstream(id);
        self.addresses.borrow_mut().remove(&id);
        self.left.borrow_mut().insert(id);
        self.machine.borrow_mut().remove_upstream(id);
    }

    /// Takes an operator's word on the version of an adapter.
    pub fn announce_version(
        &self,
        model: &str,
        adapter: &str,
        version: u32,
        how: Announcement,
    ) {
        let adapter = self.names.borrow_mut().adapter(model, adapter);
        let now = self.clock.now();
        let mut machine = self.machine.borrow_mut();
        machine.announce_version(adapter, version, how, now);
    }

    /// Asks where a request is to go; the answer may take until its deadline.
    pub fn place(
        &self,
        vm: u32,
        spec: &JobSpec,
    ) -> oneshot::Receiver<Verdict> {
        let ticket = Ticket {
            vm,
            number: spec.number,
        };
        let (tx, rx) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, tx);
        let job = spec.resolve(&mut self.names.borrow_mut(), self.clock.now());
        self.with(|machine, now| machine.place(ticket, job, now));
        rx
    }

    /// Notes what was decided of a first attempt of this VM's own callers, whoever decided.
    pub fn note_own(
        &self,
        spec: &JobSpec,
        decided: OwnDecision,
    ) {
        let Some(account) = spec.account.as_ref().filter(|_| spec.attempt == 1) else {
            return;
        };
        let account = self.names.borrow_mut().account(account);
        let now = self.clock.now();
        let mut machine = self.machine.borrow_mut();
        machine.note_own(account, spec.cost, decided, now);
    }

    /// The first event of a request was seen.
    pub fn first_event(
        &self,
        ticket: Ticket,
    ) {
        self.with(|machine, now| machine.first_event(ticket, now));
    }

    /// A request has ended, or is no longer wanted.
    pub fn ended(
        &self,
        ticket: Ticket,
        outcome: Outcome,
    ) {
        self.waiters.borrow_mut().remove(&ticket);
        self.with(|machine, now| machine.ended(ticket, outcome, now));
    }

    /// Takes over a request that runs.
    pub fn adopt(
        &self,
        vm: u32,
        spec: &RunningSpec,
    ) {
        let now = self.clock.now();
        let mut names = self.names.borrow_mut();
        let adopted = Adopted {
            ticket: Ticket {
                vm,
                number: spec.job.number,
            },
            upstream: names.upstream(&spec.upstream),
            job: spec.job.resolve(&mut names, now),
            version: spec.version,
            has_begun: spec.has_begun,
        };
        self.machine.borrow_mut().adopt(adopted, now);
    }

    /// Forgets all requests of a VM.
    pub fn forget_vm(
        &self,
        vm: u32,
    ) {
        self.waiters
            .borrow_mut()
            .retain(|ticket, _| ticket.vm != vm);
        self.with(|machine, now| machine.forget_vm(vm, now));
    }

    /// Forgets the requests of all other VMs than `vm`: somebody else decides about them by now.
    pub fn forget_others(
        &self,
        vm: u32,
    ) {
        self.waiters
            .borrow_mut()
            .retain(|ticket, _| ticket.vm == vm);
        self.with(|machine, now| machine.forget_others(vm, now));
    }

    /// Takes the answer to an order.
    pub fn order_ended(
        &self,
        upstream: UpstreamId,
        order: Order,
        end: OrderEnd,
    ) {
        self.with(|machine, now| machine.order_ended(upstream, order, end, now));
    }

    /// Takes an engine's report.
    pub fn report(
        &self,
        upstream: UpstreamId,
        holdings: Option<(&EngineHoldings, bool)>,
    ) {
        let facts = holdings.map(|(holdings, is_busy)| {
            let mut names = self.names.borrow_mut();
            engine_facts(holdings, is_busy, &mut names)
        });
        self.with(|machine, now| machine.report(upstream, facts.as_ref(), now));
    }

    /// Whether this VM knows that an upstream takes no more work, whatever the scheduler says.
    pub fn has_left(
        &self,
        upstream: &str,
    ) -> bool {
        let id = self.names.borrow_mut().upstream(upstream);
        self.left.borrow().contains(&id) || self.machine.borrow().is_leaving(id)
    }

    /// The id and address of an upstream.
    pub fn upstream(
        &self,
        id: UpstreamId,
    ) -> Option<(Rc<str>, SocketAddr)> {
        let address = *self.addresses.borrow().get(&id)?;
        Some((self.names.borrow().upstream_name(id), address))
    }

    /// The names, for whoever writes orders.
    pub fn names(&self) -> std::cell::Ref<'_, Names> {
        self.names.borrow()
    }

    /// Requests that wait and that run, for metrics.
    pub fn load(&self) -> (usize, usize) {
        let machine = self.machine.borrow();
        (machine.waiting_len(), machine.running_len())
    }

    /// How long requests that don't wait any more did, by reason.
    pub fn waits(&self) -> WaitTimes {
        *self.machine.borrow().waits()
    }

    /// Lets the machine take an event and carries out what it wants.
    fn with<F>(
        &self,
        f: F,
    ) where
        F: FnOnce(&mut Scheduler, Millis) -> Vec<Action>,
    {
        let now = self.clock.now();
        let actions = f(&mut self.machine.borrow_mut(), now);
        let acted = !actions.is_empty();
        for action in actions {
            self.act(action);
        }
        if acted {
            self.wake.notify_one();
        }
    }

    fn act(
        &self,
        action: Action,
    ) {
        match action {
            Action::Assign {
                ticket,
                upstream,
                version,
                waited_for,
            } => self.assign(ticket, upstream, version, waited_for),
            Action::Refuse {
                ticket,
                refusal,
                waited_for,
            } => {
                let verdict = Verdict::Refused {
                    refusal,
                    waited_for,
                };
                self.answer(ticket, verdict);
            }
            Action::Order {
                upstream,
                order,
                after_seq,
            } => self.send(EngineTask::Order(upstream, order, after_seq)),
            Action::AskReport { upstream } => self.send(EngineTask::Report(upstream)),
        }
    }

    fn assign(
        &self,
        ticket: Ticket,
        upstream: UpstreamId,
        version: Option<u32>,
        waited_for: WaitReason,
    ) {
        if let Some((id, address)) = self.upstream(upstream) {
            let upstream = id.to_string();
            self.answer(
                ticket,
                Verdict::Go {
                    upstream,
                    address,
                    version,
                    waited_for,
                },
            );
        }
    }

    /// A waiter that has gone has told its end by itself.
    fn answer(
        &self,
        ticket: Ticket,
        verdict: Verdict,
    ) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(&ticket) {
            drop(waiter.send(verdict));
        }
    }

    fn send(
        &self,
        task: EngineTask,
    ) {
        // The other end is gone only when the daemon ends.
        let _closed = self.tasks.send(task);
    }
}
