//! Simulation of owners, gateways and fake engines with a network in which tests inject faults.

mod deliver;
mod engine;
mod faults;
mod gateways;
mod net;

pub use {engine::FakeEngine, net::Message};

use {
    jasmine_core::{
        clock::Millis,
        ids::{
            AccountId, AdapterId, AdapterVersion, Fence, Holder, Incarnation, ModelId, Role,
            UpstreamId, VmId,
        },
        ownership::{OwnerAction, OwnerEvent, OwnerMachine, OwnerSettings, Ownership, Report},
        routing::{Router, RouterSettings, UpstreamSpec},
    },
    std::collections::{BTreeMap, BTreeSet},
};

const LEASE: Millis = Millis(3000);
const MODEL: ModelId = ModelId(0);

/// Sender of an order whose controller no longer waits for the response.
pub const NO_SENDER: usize = usize::MAX;

/// A controller; its actions are sent only while it is not frozen.
pub struct Controller {
    pub machine: OwnerMachine,
    pub frozen: bool,
    pub outbox: Vec<OwnerAction>,
    /// Events received while frozen, in order.
    pub inbox: Vec<OwnerEvent>,
    pub store_lease: Millis,
}

/// A caller's request.
#[derive(Clone, Copy)]
pub struct Request {
    pub id: u32,
    pub adapter: AdapterVersion,
    pub account: AccountId,
}

/// A gateway and its waiting requests.
pub struct Gateway {
    pub router: Router,
    pub incarnation: Incarnation,
    pub frozen: bool,
    pub waiting: Vec<Request>,
    /// The controller that owns each engine, as this gateway knows it.
    pub owners: BTreeMap<UpstreamId, usize>,
    /// The engine and adapter of each acquire request.
    pub acquires: BTreeMap<u64, (UpstreamId, AdapterVersion)>,
}

/// The simulated system.
pub struct World {
    pub now: Millis,
    pub engines: BTreeMap<UpstreamId, FakeEngine>,
    pub controllers: Vec<Controller>,
    pub gateways: Vec<Gateway>,
    pub net: Vec<Message>,
    pub owners: BTreeMap<UpstreamId, (usize, Fence)>,
    /// Engines whose owner has restarted and lost its lease.
    pub orphans: BTreeSet<UpstreamId>,
    pub last_fence: u64,
    pub last_request: u32,
    pub served: u32,
    pub refused: u32,
    pub trace: Vec<String>,
    pub faults: Vec<String>,
    pub settings: OwnerSettings,
    pub routing: RouterSettings,
}

pub fn adapter(
    number: u32,
    version: u32,
) -> AdapterVersion {
    AdapterVersion {
        adapter: AdapterId(number),
        version,
    }
}

impl World {
    pub fn new(
        engines: &[FakeEngine],
        controllers: usize,
        gateways: usize,
        settings: OwnerSettings,
        routing: RouterSettings,
    ) -> Self {
        let controller = |_| Controller {
            machine: OwnerMachine::new(settings),
            frozen: false,
            outbox: Vec::new(),
            inbox: Vec::new(),
            store_lease: Millis::ZERO,
        };
        let mut world = Self {
            now: Millis(10_000),
            engines: engines.iter().map(|e| (e.upstream, e.clone())).collect(),
            controllers: (0..controllers).map(controller).collect(),
            gateways: Vec::new(),
            net: Vec::new(),
            owners: BTreeMap::new(),
            orphans: BTreeSet::new(),
            last_fence: 0,
            last_request: 0,
            served: 0,
            refused: 0,
            trace: Vec::new(),
            faults: Vec::new(),
            settings,
            routing,
        };
        for _ in 0..gateways {
            let gateway = world.new_gateway(Incarnation(1));
            world.gateways.push(gateway);
        }
        world
    }

    pub(super) fn new_gateway(
        &self,
        incarnation: Incarnation,
    ) -> Gateway {
        let mut router = Router::new(self.routing);
        let specs: Vec<UpstreamSpec> = self.engines.values().map(FakeEngine::spec).collect();
        router.set_upstreams(&specs);
        Gateway {
            router,
            incarnation,
            frozen: false,
            waiting: Vec::new(),
            owners: BTreeMap::new(),
            acquires: BTreeMap::new(),
        }
    }

    pub fn holder(
        &self,
        g: usize,
    ) -> Holder {
        Holder {
            vm: VmId(g as u32),
            role: Role::Gateway,
            incarnation: self.gateways[g].incarnation,
        }
    }

    /// Makes a controller the owner of an engine.
    pub fn assign_owner(
        &mut self,
        upstream: UpstreamId,
        c: usize,
    ) {
        self.last_fence += 1;
        let fence = Fence(self.last_fence);
        self.owners.insert(upstream, (c, fence));
        self.orphans.remove(&upstream);
        self.renew_lease(c);
        let gateways: Vec<VmId> = (0..self.gateways.len()).map(|g| VmId(g as u32)).collect();
        self.handle_event(c, OwnerEvent::Members(gateways));
        let engine = &self.engines[&upstream];
        let own = Ownership {
            upstream,
            fence,
            checks_fencing: engine.checks_fencing,
            slots: engine.slots,
        };
        self.handle_event(c, OwnerEvent::OwnershipGained(own));
    }

    pub fn renew_lease(
        &mut self,
        c: usize,
    ) {
        let until = self.now + LEASE;
        self.controllers[c].store_lease = until;
        self.handle_event(c, OwnerEvent::LeaseExtended(until));
    }

    /// Passes an event to a controller, or queues it if the controller is frozen.
    pub fn handle_event(
        &mut self,
        c: usize,
        event: OwnerEvent,
    ) {
        if self.controllers[c].frozen {
            self.controllers[c].inbox.push(event);
            return;
        }
        let machine = &mut self.controllers[c].machine;
        let mut actions = machine.handle(event, self.now);
        let asked: u32 = actions
            .iter()
            .map(|action| match action {
                OwnerAction::RequestBudget(loads) => *loads,
                _ => 0,
            })
            .sum();
        if asked > 0 {
            actions.extend(machine.handle(OwnerEvent::BudgetGranted(asked), self.now));
        }
        self.controllers[c].outbox.extend(actions);
    }

    /// Unfreezes a controller, which first handles the queued events.
    pub fn thaw(
        &mut self,
        c: usize,
    ) {
        self.controllers[c].frozen = false;
        for event in std::mem::take(&mut self.controllers[c].inbox) {
            self.handle_event(c, event);
        }
    }

    /// Sends the actions that a controller has decided on.
    pub fn flush(
        &mut self,
        c: usize,
    ) {
        for action in std::mem::take(&mut self.controllers[c].outbox) {
            self.send_action(c, action);
        }
    }

    fn send_action(
        &mut self,
        c: usize,
        action: OwnerAction,
    ) {
        match action {
            OwnerAction::OrderLoad { .. }
            | OwnerAction::OrderUnload { .. }
            | OwnerAction::RaiseFence { .. } => self.net.push(Message::Order(c, action)),
            OwnerAction::RequestBudget(_) => {}
            OwnerAction::RenewFence(upstream) => {
                if self
                    .owners
                    .get(&upstream)
                    .is_some_and(|&(owner, _)| owner == c)
                {
                    self.assign_owner(upstream, c);
                }
            }
            OwnerAction::Reply { to, ask, outcome } => {
                self.net.push(Message::Reply { to, ask, outcome });
            }
            OwnerAction::Recall { holder, instance } => {
                self.net.push(Message::Recall(holder, instance));
            }
        }
    }

    pub fn report(
        &mut self,
        upstream: UpstreamId,
    ) {
        let engine = &self.engines[&upstream];
        let report = Report {
            upstream,
            boot: engine.boot,
            slots: engine.slots,
            instances: engine.loaded.keys().copied().collect(),
        };
        for c in 0..self.controllers.len() {
            self.net
                .push(Message::ToOwner(c, OwnerEvent::Reported(report.clone())));
        }
    }

    /// Delivers all messages in order until none is left.
    pub fn settle(&mut self) {
        for _ in 0..10_000 {
            for c in 0..self.controllers.len() {
                if !self.controllers[c].frozen {
                    self.flush(c);
                }
            }
            let due = self
                .net
                .iter()
                .position(|message| self.is_deliverable(message));
            let Some(i) = due else {
                return;
            };
            let message = self.net.remove(i);
            self.deliver(message);
        }
        self.faults.push("messages are exchanged endlessly".into());
    }

    pub fn is_deliverable(
        &self,
        message: &Message,
    ) -> bool {
        match message {
            Message::ToOwner(c, _) => !self.controllers[*c].frozen,
            Message::Reply { to, .. }
            | Message::PollReply { to, .. }
            | Message::Recall(to, _)
            | Message::Response { to, .. } => !self.gateways[to.vm.0 as usize].frozen,
            Message::Order(..) | Message::Request { .. } => true,
        }
    }

    /// Advances the time: leases are renewed or lapse, and all processes tick, report and poll.
    pub fn pass(
        &mut self,
        step: Millis,
    ) {
        self.now += step;
        for c in 0..self.controllers.len() {
            let owns = self.owners.values().any(|&(owner, _)| owner == c);
            let live = self.controllers[c].store_lease > self.now;
            if owns && live && !self.controllers[c].frozen {
                self.renew_lease(c);
            }
        }
        self.reassign();
        for c in 0..self.controllers.len() {
            if !self.controllers[c].frozen {
                self.handle_event(c, OwnerEvent::Tick);
            }
        }
        let engines: Vec<UpstreamId> = self.engines.keys().copied().collect();
        for upstream in engines {
            self.report(upstream);
        }
        for g in 0..self.gateways.len() {
            if !self.gateways[g].frozen {
                let actions = self.gateways[g].router.tick(self.now);
                self.perform_actions(g, actions);
                self.poll(g);
                self.route_waiting(g);
            }
        }
    }

    pub fn trace_line(
        &mut self,
        line: String,
    ) {
        self.trace.push(line);
    }
}
