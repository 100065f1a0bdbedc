use {
    super::{
        caller::account_limit,
        engine::{EngineRequest, MAX_BATCH, SLOTS},
        sim::{ENGINES, World},
        workload::{ACCOUNT_RATES, VMS},
    },
    jasmine_core::{
        clock::Millis,
        ids::{
            AccountId, DataCentreId, Epoch, Fence, Holder, Incarnation, ModelId, RequestId, Role,
            UpstreamId, VmId,
        },
        ownership::{
            Candidate, LoadResult, OwnerEvent, OwnerMachine, OwnerSettings, Ownership, Poll,
            Report, assign,
        },
        placement::Instance,
        queue::{self, AccountShare, FairQueue, Priority, QueueSettings, QueuedRequest},
        rights::{
            Admission, CallerTag, FULL_SHARE, Right, RightsLedger, RightsSettings, scale_by_share,
        },
        routing::{
            EngineView, RequestOutcome, Router, RouterSettings, UpstreamSpec, UpstreamSpecKind,
        },
    },
    std::collections::{BTreeMap, VecDeque},
};

pub(super) const MODEL: ModelId = ModelId(0);
const POLL_INTERVAL_MS: u64 = 200;
const REPORT_INTERVAL_MS: u64 = 500;
const TICK_INTERVAL_MS: u64 = 50;
const REQUEST_DEADLINE: Millis = Millis::from_secs(30);
/// Rounds of take requests to peers before a request is refused.
const MAX_TAKE_ROUNDS: usize = 3;

#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) router: Router,
    pub(super) queue: FairQueue,
    pub(super) ledger: RightsLedger,
    pub(super) pending_acquires: BTreeMap<u64, (UpstreamId, jasmine_core::ids::AdapterVersion)>,
}

/// Load budget that an owner has requested and not yet received.
#[derive(Debug)]
pub(super) struct BudgetRequest {
    pub(super) owner: usize,
    pub(super) loads: u32,
    pub(super) since: Millis,
}

impl BudgetRequest {
    pub(super) fn new(owner: usize) -> Self {
        let since = Millis::ZERO;
        Self {
            owner,
            loads: 0,
            since,
        }
    }
}

/// The production decision code of all VMs, each with a gateway and an owner.
#[derive(Debug)]
pub struct Fleet {
    pub(super) gateways: Vec<Gateway>,
    pub(super) owners: Vec<OwnerMachine>,
    pub(super) owner_of: Vec<usize>,
    pub(super) budget_requests: Vec<BudgetRequest>,
    pub(super) dispatched: BTreeMap<usize, (usize, Instance)>,
    pub(super) events: VecDeque<(usize, OwnerEvent)>,
}

fn data_centre(number: usize) -> DataCentreId {
    DataCentreId((number % 3) as u16)
}

pub(super) fn holder(gateway: usize) -> Holder {
    Holder {
        vm: VmId(gateway as u32),
        role: Role::Gateway,
        incarnation: Incarnation(1),
    }
}

impl Fleet {
    /// Creates all VMs and assigns the engines; `sharing` lets VMs transfer rights.
    pub fn new(sharing: bool) -> Self {
        let live: Vec<Candidate> = (0..VMS)
            .map(|vm| Candidate {
                vm: VmId(vm as u32),
                data_centre: data_centre(vm),
            })
            .collect();
        let owner = |engine| {
            let vm = assign(UpstreamId(engine as u32), data_centre(engine), &live);
            vm.map_or(0, |vm| vm.0 as usize)
        };
        let mut fleet = Self {
            gateways: (0..VMS).map(|g| gateway(g, sharing)).collect(),
            owners: (0..VMS)
                .map(|_| OwnerMachine::new(OwnerSettings::default()))
                .collect(),
            owner_of: (0..ENGINES).map(owner).collect(),
            budget_requests: (0..VMS).map(BudgetRequest::new).collect(),
            dispatched: BTreeMap::new(),
            events: VecDeque::new(),
        };
        let members: Vec<VmId> = live.iter().map(|candidate| candidate.vm).collect();
        for vm in 0..VMS {
            fleet
                .events
                .push_back((vm, OwnerEvent::LeaseExtended(Millis(u64::MAX / 2))));
            fleet
                .events
                .push_back((vm, OwnerEvent::Members(members.clone())));
        }
        for (engine, &vm) in fleet.owner_of.iter().enumerate() {
            let own = Ownership {
                upstream: UpstreamId(engine as u32),
                fence: Fence(1),
                checks_fencing: false,
                slots: SLOTS,
            };
            fleet
                .events
                .push_back((vm, OwnerEvent::OwnershipGained(own)));
        }
        fleet
    }

    /// Handles the events of one time step.
    pub fn step(
        &mut self,
        world: &mut World,
        ids: &[usize],
        loaded: &[Instance],
        ended: &[(usize, EngineRequest)],
    ) {
        for &instance in loaded {
            let event = OwnerEvent::LoadEnded(instance, LoadResult::Loaded);
            self.events
                .push_back((self.owner_of[instance.upstream.0 as usize], event));
        }
        for (_, running) in ended {
            self.finish_request(world, running);
        }
        self.admit(world, ids);
        self.periodic(world);
        self.grant_budget(world);
        self.run_events(world);
        for g in 0..VMS {
            self.dispatch_queue(world, g);
        }
        self.run_events(world);
    }

    fn finish_request(
        &mut self,
        world: &World,
        running: &EngineRequest,
    ) {
        if let Some((g, instance)) = self.dispatched.remove(&running.id) {
            let finish = if running.remaining_tokens == 0 {
                RequestOutcome::Done
            } else {
                RequestOutcome::Failed
            };
            let router = &mut self.gateways[g].router;
            let actions = router.finished(instance.upstream, Some(instance), finish, world.now);
            self.execute_router_actions(g, actions);
        }
    }

    fn admit(
        &mut self,
        world: &mut World,
        ids: &[usize],
    ) {
        for &id in ids {
            let arrival = world.arrivals[id];
            let (g, cost) = (arrival.vm, u64::from(arrival.tokens));
            match self.try_admit(world, id) {
                Admission::Admitted(_) => {}
                Admission::NeedsRights { .. } => {
                    let caller = CallerTag(arrival.caller_tag);
                    let ledger = &mut self.gateways[g].ledger;
                    let refusal =
                        ledger.refuse_with_retry(arrival.account, cost, caller, world.now);
                    world.refuse(id, refusal);
                    continue;
                }
                Admission::Refused(refusal) => {
                    world.refuse(id, refusal);
                    continue;
                }
            }
            world.admit(id);
            let waiting = QueuedRequest {
                request: RequestId(id as u64),
                account: arrival.account,
                priority: Priority::Normal,
                cost,
                deadline: world.now + REQUEST_DEADLINE,
                target: queue::QueueTarget::Adapter(arrival.adapter),
            };
            if let Err(refusal) = self.gateways[g].queue.push(waiting, world.now) {
                world.refuse(id, refusal);
            }
        }
    }

    fn try_admit(
        &mut self,
        world: &World,
        id: usize,
    ) -> Admission {
        let arrival = world.arrivals[id];
        let (g, account) = (arrival.vm, arrival.account);
        let cost = u64::from(arrival.tokens);
        let caller = CallerTag(arrival.caller_tag);
        let mut last = self.gateways[g]
            .ledger
            .try_admit(account, cost, caller, world.now);
        for _ in 0..MAX_TAKE_ROUNDS {
            let Admission::NeedsRights { shortfall } = last else {
                return last;
            };
            let asks = self.gateways[g]
                .ledger
                .create_take_requests(account, shortfall, world.now);
            for ask in asks {
                let to = ask.to.vm.0 as usize;
                let given = self.gateways[to]
                    .ledger
                    .handle_take_request(&ask.request, world.now);
                let ledger = &mut self.gateways[g].ledger;
                ledger.handle_take_response(ask.request.transfer, &given, world.now);
            }
            last = self.gateways[g]
                .ledger
                .try_admit(account, cost, caller, world.now);
        }
        last
    }

    fn periodic(
        &mut self,
        world: &World,
    ) {
        let is_due = |period: u64| world.now.0.is_multiple_of(period);
        if is_due(TICK_INTERVAL_MS) {
            for c in 0..VMS {
                self.events.push_back((c, OwnerEvent::Tick));
            }
            for g in 0..VMS {
                let actions = self.gateways[g].router.tick(world.now);
                self.execute_router_actions(g, actions);
            }
        }
        if is_due(REPORT_INTERVAL_MS) {
            for (engine, state) in world.engines.iter().enumerate() {
                let report = Report {
                    upstream: UpstreamId(engine as u32),
                    boot: state.boot,
                    slots: SLOTS,
                    instances: state.loaded.iter().copied().collect(),
                };
                self.events
                    .push_back((self.owner_of[engine], OwnerEvent::Reported(report)));
            }
        }
        if is_due(POLL_INTERVAL_MS) {
            for g in 0..VMS {
                self.poll(world, g);
            }
        }
    }

    fn poll(
        &mut self,
        world: &World,
        g: usize,
    ) {
        let router = &mut self.gateways[g].router;
        let poll = Poll {
            from: holder(g),
            seen: router.seen_fences(),
            held: router.held(),
        };
        for c in 0..VMS {
            self.events.push_back((c, OwnerEvent::Polled(poll.clone())));
        }
        let mut actions = Vec::new();
        for (engine, state) in world.engines.iter().enumerate() {
            let upstream = UpstreamId(engine as u32);
            let owner = &self.owners[self.owner_of[engine]];
            let Some(owner_fence) = owner.fence(upstream) else {
                continue;
            };
            let view = EngineView {
                upstream,
                owner_fence,
                running: state.running.len() as u32,
                waiting: state.waiting.len() as u32,
                free_slots: SLOTS.saturating_sub(state.loaded.len() as u32),
                healthy: true,
                boot: state.boot,
                resident: owner.resident(upstream),
            };
            actions.extend(self.gateways[g].router.update_view(view, world.now));
        }
        for owner in &self.owners {
            for instance in owner.recalls(holder(g)) {
                actions.extend(self.gateways[g].router.recall(instance));
            }
        }
        self.execute_router_actions(g, actions);
    }

    fn grant_budget(
        &mut self,
        world: &mut World,
    ) {
        // Most urgent first: the number of missing loads times the waiting time.
        let urgency = |request: &BudgetRequest| {
            u64::from(request.loads) * (world.now.since(request.since).0 + 1)
        };
        while let Some(request) = self
            .budget_requests
            .iter_mut()
            .filter(|request| request.loads > 0)
            .max_by_key(|request| urgency(request))
        {
            if world.store.grant(1) == 0 {
                return;
            }
            request.loads -= 1;
            request.since = world.now;
            let granted = OwnerEvent::BudgetGranted(1);
            self.events.push_back((request.owner, granted));
        }
    }
}

fn gateway(
    g: usize,
    sharing: bool,
) -> Gateway {
    let mut router = Router::new(RouterSettings::new(data_centre(g)));
    let spec = |engine| UpstreamSpec {
        upstream: UpstreamId(engine as u32),
        data_centre: data_centre(engine),
        kind: UpstreamSpecKind::Engine {
            model: MODEL,
            slots: SLOTS,
            max_batch: MAX_BATCH,
        },
        is_draining: false,
    };
    router.set_upstreams(&(0..ENGINES).map(spec).collect::<Vec<_>>());
    let mut queue = FairQueue::new(QueueSettings::default());
    let mut ledger = RightsLedger::new(
        holder(g),
        RightsSettings {
            sharing,
            ..RightsSettings::default()
        },
    );
    ledger.set_peers((0..VMS).map(holder));
    ledger.enter_epoch(Epoch(1), Millis::ZERO);
    let share = FULL_SHARE / VMS as u64;
    let mut grants = Vec::new();
    for account in (0..ACCOUNT_RATES.len() as u32).map(AccountId) {
        queue.set_share(account, AccountShare::default());
        ledger.set_limit(account, account_limit(account), Millis::ZERO);
        grants.push(Right {
            account,
            rate_share: share,
            burst_share: share,
            tokens: scale_by_share(account_limit(account).burst_millitokens(), share),
        });
    }
    ledger.apply_grants(Epoch(1), &grants, Millis::ZERO);
    Gateway {
        router,
        queue,
        ledger,
        pending_acquires: BTreeMap::new(),
    }
}
