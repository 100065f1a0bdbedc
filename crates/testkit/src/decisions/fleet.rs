use {
    super::{
        caller::limit,
        engine::{MAX_BATCH, Running, SLOTS},
        load::{RATES, VMS},
        sim::{ENGINES, World},
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
const POLL: u64 = 200;
const REPORT: u64 = 500;
const TICK: u64 = 50;
const DEADLINE: Millis = Millis::from_secs(30);
/// Rounds of asking peers for rights before a refusal.
const ROUNDS: usize = 3;

#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) router: Router,
    pub(super) queue: FairQueue,
    pub(super) ledger: RightsLedger,
    pub(super) asks: BTreeMap<u64, (UpstreamId, jasmine_core::ids::AdapterVersion)>,
}

/// Loads that an owner has asked for and not been granted.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) owner: usize,
    pub(super) loads: u32,
    pub(super) since: Millis,
}

impl Asked {
    pub(super) fn new(owner: usize) -> Self {
        let since = Millis::ZERO;
        Self {
            owner,
            loads: 0,
            since,
        }
    }
}

/// The decision code of all VMs, each with a gateway and a controller.
#[derive(Debug)]
pub struct Fleet {
    pub(super) gateways: Vec<Gateway>,
    pub(super) owners: Vec<OwnerMachine>,
    pub(super) owner_of: Vec<usize>,
    pub(super) asked: Vec<Asked>,
    pub(super) sent_by: BTreeMap<usize, (usize, Instance)>,
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
    /// All VMs, with the engines shared out and nothing loaded; `sharing`: rights move between them.
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
            asked: (0..VMS).map(Asked::new).collect(),
            sent_by: BTreeMap::new(),
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

    /// Decides for one step of time.
    pub fn step(
        &mut self,
        world: &mut World,
        ids: &[usize],
        loaded: &[Instance],
        ended: &[(usize, Running)],
    ) {
        for &instance in loaded {
            let event = OwnerEvent::LoadEnded(instance, LoadResult::Loaded);
            self.events
                .push_back((self.owner_of[instance.upstream.0 as usize], event));
        }
        for (_, running) in ended {
            self.end(world, running);
        }
        self.admit(world, ids);
        self.periodic(world);
        self.grant_budget(world);
        self.run_events(world);
        for g in 0..VMS {
            self.pump(world, g);
        }
        self.run_events(world);
    }

    fn end(
        &mut self,
        world: &World,
        running: &Running,
    ) {
        if let Some((g, instance)) = self.sent_by.remove(&running.id) {
            let finish = if running.left == 0 {
                RequestOutcome::Done
            } else {
                RequestOutcome::Failed
            };
            let router = &mut self.gateways[g].router;
            let actions = router.finished(instance.upstream, Some(instance), finish, world.now);
            self.act(g, actions);
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
                    let caller = CallerTag(arrival.tag);
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
                deadline: world.now + DEADLINE,
                target: queue::Target::Adapter(arrival.adapter),
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
        let caller = CallerTag(arrival.tag);
        let mut last = self.gateways[g]
            .ledger
            .try_admit(account, cost, caller, world.now);
        for _ in 0..ROUNDS {
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
        if is_due(TICK) {
            for c in 0..VMS {
                self.events.push_back((c, OwnerEvent::Tick));
            }
            for g in 0..VMS {
                let actions = self.gateways[g].router.tick(world.now);
                self.act(g, actions);
            }
        }
        if is_due(REPORT) {
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
        if is_due(POLL) {
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
        self.act(g, actions);
    }

    fn grant_budget(
        &mut self,
        world: &mut World,
    ) {
        // As rights move to where the demand is: by what an owner lacks and for how long.
        let urgency = |asked: &Asked| u64::from(asked.loads) * (world.now.since(asked.since).0 + 1);
        while let Some(asked) = self
            .asked
            .iter_mut()
            .filter(|asked| asked.loads > 0)
            .max_by_key(|asked| urgency(asked))
        {
            if world.store.grant(1) == 0 {
                return;
            }
            asked.loads -= 1;
            asked.since = world.now;
            let granted = OwnerEvent::BudgetGranted(1);
            self.events.push_back((asked.owner, granted));
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
    for account in (0..RATES.len() as u32).map(AccountId) {
        queue.set_share(account, AccountShare::default());
        ledger.set_limit(account, limit(account), Millis::ZERO);
        grants.push(Right {
            account,
            rate_share: share,
            burst_share: share,
            tokens: scale_by_share(limit(account).burst_millitokens(), share),
        });
    }
    ledger.apply_grants(Epoch(1), &grants, Millis::ZERO);
    Gateway {
        router,
        queue,
        ledger,
        asks: BTreeMap::new(),
    }
}
