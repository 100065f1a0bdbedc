use {
    super::{
        Event, Link,
        daemon::{Daemon, Fate},
        reference::{Reference, Used},
        store::Store,
    },
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, Holder, Incarnation, Role, TransferId, VmId},
        membership::{
            Budget, EpochAction, EpochMachine, HoldingsRecord, LiveVm, MembershipSettings,
            ReleasedRecord, StoreView,
        },
        rights::{Ask, CallerTag, Given, Limit, RightsSettings, SHARE_WHOLE},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        fmt::Write as _,
    },
};

/// The account that is there from the start, the one of the second revision, the weight store.
const ACCOUNTS: [AccountId; 3] = [AccountId(1), AccountId(2), AccountId(9)];
const LEASE: Millis = Millis(3000);
const LIST_LAG: Millis = Millis(5000);
const STEP: Millis = Millis(50);

/// What is under way between two daemons.
#[derive(Clone, Copy, Debug)]
enum Message {
    Ask(Ask),
    Answer(Holder, TransferId, Given),
}

impl Message {
    fn to(&self) -> Holder {
        match self {
            Self::Ask(ask) => ask.to,
            Self::Answer(to, ..) => *to,
        }
    }
}

/// One VM that runs.
#[derive(Debug)]
struct Vm {
    frozen: bool,
    /// Revision of the configuration in force.
    revision: usize,
    daemons: [Daemon; 2],
    machine: EpochMachine,
    view: StoreView,
    to_write: VecDeque<EpochAction>,
}

/// The whole fleet.
#[derive(Debug)]
pub struct Fleet {
    pub now: Millis,
    settings: RightsSettings,
    pub store: Store,
    vms: BTreeMap<VmId, Vm>,
    last_run: BTreeMap<VmId, Incarnation>,
    unlisted: BTreeMap<VmId, Millis>,
    links: VecDeque<Message>,
    /// Limit of the first account at each revision.
    limits: Vec<Limit>,
    ran: Vec<Used>,
    /// In which order limits changed and requests ran.
    in_force: Vec<(usize, Millis, AccountId, Limit)>,
    callers: u64,
}

impl Fleet {
    /// `vms` VMs that have just started.
    pub fn new(
        vms: u32,
        settings: RightsSettings,
    ) -> Self {
        let mut fleet = Self {
            now: Millis(1000),
            settings,
            store: Store::default(),
            vms: BTreeMap::new(),
            last_run: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            links: VecDeque::new(),
            limits: vec![Limit {
                rate: 100,
                burst: 100,
            }],
            ran: Vec::new(),
            in_force: Vec::new(),
            callers: 0,
        };
        fleet.store.up = true;
        for vm in 1..=vms {
            fleet.start(VmId(vm));
        }
        fleet.update_list();
        fleet
    }

    /// Makes one thing happen.
    pub fn apply(
        &mut self,
        event: Event,
    ) -> Vec<Fate> {
        match event {
            Event::Advance(by) => self.advance(by),
            Event::Request {
                vm,
                controller,
                second,
                cost,
                uses,
            } => {
                return self.request(vm, controller, second, cost, uses);
            }
            Event::Finish(vm) => self.finish(vm),
            Event::Tick { vm, reply_lost } => return self.tick(vm, reply_lost),
            Event::Read { vm, old_list } => self.read(vm, old_list),
            Event::Decide(vm) => self.decide(vm),
            Event::Write(vm) => self.write(vm),
            Event::Carry(link, index) => return self.carry(link, index),
            Event::CarryAll => return self.carry_all(),
            Event::Run(time) => return self.run(time),
            Event::Kill(vm) => drop(self.vms.remove(&vm)),
            Event::Start(vm) => self.start(vm),
            Event::Leave(vm) => self.leave(vm),
            Event::Freeze(vm) => self.set_frozen(vm, true),
            Event::Thaw(vm) => self.set_frozen(vm, false),
            Event::Store(up) => self.store.up = up,
            Event::List => self.update_list(),
            Event::Unlist(vm) => self.unlist(vm),
            Event::Limit(rate) => self.limits.push(Limit {
                rate,
                burst: rate * 2,
            }),
            Event::Configure(vm) => self.configure(vm),
        }
        Vec::new()
    }

    /// Lets everything work for a while, links and store included.
    pub fn run(
        &mut self,
        time: Millis,
    ) -> Vec<Fate> {
        let end = self.now + time;
        let mut fates = Vec::new();
        while self.now < end {
            let vms: Vec<VmId> = self.vms.keys().copied().collect();
            for vm in vms {
                self.read(vm, false);
                self.decide(vm);
                while self.is_awake(vm) && !self.vms[&vm].to_write.is_empty() {
                    self.write(vm);
                }
                fates.extend(self.tick(vm, false));
            }
            fates.extend(self.carry_all());
            self.advance(STEP);
        }
        fates
    }

    /// Carries what is under way until nothing is, or all that is left waits for frozen VMs.
    pub fn carry_all(&mut self) -> Vec<Fate> {
        let mut fates = Vec::new();
        for _ in 0..1000 {
            let Some(index) = self
                .links
                .iter()
                .position(|message| !self.vms.get(&message.to().vm).is_some_and(|vm| vm.frozen))
            else {
                break;
            };
            fates.extend(self.carry(Link::Deliver, index));
        }
        fates
    }

    /// Ends all faults; VMs that are dead stay dead, but one VM lives.
    pub fn heal(&mut self) {
        self.store.up = true;
        if self.vms.is_empty() {
            self.start(VmId(1));
        }
        self.update_list();
        let vms: Vec<VmId> = self.vms.keys().copied().collect();
        for vm in vms {
            self.set_frozen(vm, false);
            self.configure(vm);
        }
    }

    /// The parts of the whole that all holders have together: rate and room.
    pub fn held(
        &self,
        account: AccountId,
    ) -> (u64, u64) {
        self.daemons()
            .flat_map(|daemon| daemon.ledger.held())
            .filter(|right| right.account == account)
            .fold((0, 0), |(rate, room), right| {
                (rate + right.rate_share, room + right.room_share)
            })
    }

    /// Checks what must hold at any moment.
    pub fn check_now(&self) {
        for account in ACCOUNTS {
            let (rate, room) = self.held(account);
            assert!(
                rate <= SHARE_WHOLE,
                "account {account}: {rate} of the rate is held"
            );
            assert!(
                room <= SHARE_WHOLE,
                "account {account}: {room} of the burst is held"
            );
        }
    }

    /// Checks that no account used more than its burst and rate in any window.
    pub fn check_used(&self) {
        for account in ACCOUNTS {
            let mut changes = self
                .in_force
                .iter()
                .filter(|change| change.2 == account)
                .peekable();
            let mut reference: Option<Reference> = None;
            for (index, used) in self.ran.iter().enumerate() {
                while let Some(&(_, at, _, limit)) = changes.next_if(|change| change.0 <= index) {
                    reference
                        .get_or_insert(Reference::new(limit))
                        .set_limit(limit, at);
                }
                if used.account == account {
                    let within = reference.as_mut().is_some_and(|bucket| bucket.take(used));
                    assert!(within, "over the limit with {used:?}: {reference:?}");
                }
            }
        }
    }

    /// Checks what must hold once faults have ended and some time has passed.
    pub fn check_healed(&mut self) {
        for _ in 0..20 {
            if self.store.epoch().is_some_and(|record| record.closing) {
                self.run(Millis(100));
            }
        }
        let record = self.store.epoch().expect("an epoch").clone();
        let mut alive: Vec<Holder> = self.daemons().map(|daemon| daemon.holder).collect();
        alive.sort_unstable();
        assert_eq!(record.members, alive, "the members are those who live");
        assert!(!record.closing, "the epoch is finalised");
        for Budget { account, .. } in budgets(&self.limits) {
            let (rate, room) = self.held(account);
            let lost = SHARE_WHOLE - rate.min(room);
            assert!(
                lost < 1000,
                "account {account}: {lost} of the rights is nowhere"
            );
        }
        let before = record.epoch;
        self.run(Millis(5000));
        let after = self.store.epoch().expect("an epoch").epoch;
        let most = before.next();
        assert!(
            after <= most,
            "nothing but the periodic change: {before} to {after}"
        );
    }

    /// The epoch and what each VM has of an account, for a script.
    pub fn show(
        &mut self,
        account: AccountId,
    ) -> String {
        let mut out = match self.store.epoch() {
            None => "no epoch\n".to_owned(),
            Some(record) => format!(
                "epoch {}{}, {} members\n",
                record.epoch,
                if record.closing { " closing" } else { "" },
                record.members.len(),
            ),
        };
        for daemon in self.daemons() {
            let held = daemon.ledger.held();
            if let Some(right) = held.iter().find(|right| right.account == account) {
                let percent = |share| 100.0 * share as f64 / SHARE_WHOLE as f64;
                let _ = writeln!(
                    out,
                    "vm {}: rate {:.1} %, room {:.1} %, tokens {:.1}",
                    daemon.holder.vm,
                    percent(right.rate_share),
                    percent(right.room_share),
                    right.tokens as f64 / 1000.0,
                );
            }
        }
        out
    }

    /// Number of messages under way.
    pub fn under_way(&self) -> usize {
        self.links.len()
    }

    /// Number of requests that ran.
    pub fn ran(&self) -> usize {
        self.ran.len()
    }

    fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.vms.values().flat_map(|vm| &vm.daemons)
    }

    fn is_awake(
        &self,
        vm: VmId,
    ) -> bool {
        self.vms.get(&vm).is_some_and(|vm| !vm.frozen)
    }

    fn awake(
        &mut self,
        vm: VmId,
    ) -> Option<&mut Vm> {
        self.vms.get_mut(&vm).filter(|vm| !vm.frozen)
    }

    fn advance(
        &mut self,
        by: Millis,
    ) {
        self.now += by;
        let (now, store, vms) = (self.now, &mut self.store, &self.vms);
        self.unlisted.retain(|vm, until| {
            if now >= *until && vms.contains_key(vm) {
                store.listed.insert(*vm);
            }
            now < *until
        });
    }

    fn request(
        &mut self,
        vm: VmId,
        controller: bool,
        second: bool,
        cost: u64,
        uses: u64,
    ) -> Vec<Fate> {
        let account = ACCOUNTS[if controller { 2 } else { usize::from(second) }];
        let cost = if controller { cost % 8 + 1 } else { cost };
        self.callers += 1;
        let (now, caller) = (self.now, CallerTag(self.callers));
        let Some(at) = self.vms.get_mut(&vm).filter(|vm| !vm.frozen) else {
            return Vec::new();
        };
        let daemon = &mut at.daemons[usize::from(controller)];
        let uses = cost * uses.min(100) / 100;
        let (fate, asks) = daemon.request(account, cost, uses, caller, now, &mut self.ran);
        self.links.extend(asks.into_iter().map(Message::Ask));
        vec![fate]
    }

    fn finish(
        &mut self,
        vm: VmId,
    ) {
        let now = self.now;
        if let Some(vm) = self.vms.get_mut(&vm).filter(|vm| !vm.frozen) {
            let [gateway, controller] = &mut vm.daemons;
            let _ = gateway.finish(now, &mut self.ran) || controller.finish(now, &mut self.ran);
        }
    }

    fn tick(
        &mut self,
        vm: VmId,
        reply_lost: bool,
    ) -> Vec<Fate> {
        let (now, mut fates) = (self.now, Vec::new());
        let Some(at) = self.vms.get_mut(&vm).filter(|vm| !vm.frozen) else {
            return fates;
        };
        for daemon in &mut at.daemons {
            let (more, asks) = daemon.retry(now, &mut self.ran);
            fates.extend(more.into_iter().filter(|fate| *fate != Fate::Asking));
            let again = daemon.ledger.unanswered(now);
            let ahead = daemon.ledger.rebalance(now);
            let all = asks.into_iter().chain(again).chain(ahead);
            self.links.extend(all.map(Message::Ask));
            let Some(epoch) = &at.view.epoch else {
                continue;
            };
            let Some(rights) = daemon.see_epoch(&epoch.value, now) else {
                continue;
            };
            if self.store.up && !reply_lost {
                self.store.report(HoldingsRecord {
                    epoch: epoch.value.epoch,
                    holder: daemon.holder,
                    rights,
                });
            }
        }
        fates
    }

    fn read(
        &mut self,
        vm: VmId,
        old_list: bool,
    ) {
        let now = self.now;
        let Some(at) = self
            .vms
            .get_mut(&vm)
            .filter(|vm| self.store.up && !vm.frozen)
        else {
            return;
        };
        self.store.keep_alive(
            LiveVm {
                vm,
                gateway: Some(at.daemons[0].holder.incarnation),
                controller: Some(at.daemons[1].holder.incarnation),
            },
            now + LEASE,
        );
        let mut view = self.store.read(now);
        if old_list && at.view.listed.is_some() {
            view.listed = at.view.listed.take();
            view.read_at = at.view.read_at;
        }
        view.budgets = budgets(&self.limits[..=at.revision]);
        at.view = view;
    }

    fn decide(
        &mut self,
        vm: VmId,
    ) {
        let now = self.now;
        if let Some(vm) = self.awake(vm).filter(|vm| vm.view.listed.is_some()) {
            let actions = vm.machine.step(&vm.view, now);
            vm.to_write.extend(actions);
        }
    }

    fn write(
        &mut self,
        vm: VmId,
    ) {
        let up = self.store.up;
        let action = self.awake(vm).and_then(|vm| vm.to_write.pop_front());
        if let Some(action) = action.filter(|_| up) {
            self.store.write(action);
        }
    }

    fn carry(
        &mut self,
        link: Link,
        index: usize,
    ) -> Vec<Fate> {
        if self.links.is_empty() {
            return Vec::new();
        }
        let index = index % self.links.len();
        let message = self.links[index];
        match link {
            Link::Duplicate => {
                self.links.push_back(message);
                Vec::new()
            }
            Link::Drop => {
                self.links.remove(index);
                Vec::new()
            }
            Link::Deliver if self.vms.get(&message.to().vm).is_some_and(|vm| vm.frozen) => {
                Vec::new()
            }
            Link::Deliver => {
                self.links.remove(index);
                self.deliver(&message)
            }
        }
    }

    fn deliver(
        &mut self,
        message: &Message,
    ) -> Vec<Fate> {
        let (now, to) = (self.now, message.to());
        let daemon = self
            .vms
            .get_mut(&to.vm)
            .and_then(|vm| vm.daemons.iter_mut().find(|daemon| daemon.holder == to));
        let Some(daemon) = daemon else {
            return Vec::new();
        };
        match message {
            Message::Ask(ask) => {
                let given = daemon.ledger.give(&ask.request, now);
                let answer = Message::Answer(ask.request.from, ask.request.transfer, given);
                self.links.push_back(answer);
                Vec::new()
            }
            Message::Answer(_, transfer, given) => {
                daemon.ledger.receive(*transfer, given, now);
                let (fates, asks) = daemon.retry(now, &mut self.ran);
                self.links.extend(asks.into_iter().map(Message::Ask));
                fates
                    .into_iter()
                    .filter(|fate| *fate != Fate::Asking)
                    .collect()
            }
        }
    }

    fn start(
        &mut self,
        vm: VmId,
    ) {
        if self.vms.contains_key(&vm) {
            return;
        }
        let run = self.last_run.entry(vm).or_default();
        *run = run.next();
        let incarnation = *run;
        let daemon = |role| {
            Daemon::new(
                Holder {
                    vm,
                    role,
                    incarnation,
                },
                self.settings,
            )
        };
        let settings = MembershipSettings {
            list_lag: LIST_LAG,
            refresh: Millis::from_secs(30),
            ..MembershipSettings::default()
        };
        let started = Vm {
            frozen: false,
            revision: 0,
            daemons: [daemon(Role::Gateway), daemon(Role::Controller)],
            machine: EpochMachine::new(vm, settings),
            view: StoreView::default(),
            to_write: VecDeque::new(),
        };
        self.vms.insert(vm, started);
        self.configure(vm);
    }

    fn leave(
        &mut self,
        vm: VmId,
    ) {
        let Some(mut left) = self.vms.remove(&vm) else {
            return;
        };
        for daemon in &mut left.daemons {
            let rights = daemon.ledger.give_all_back(self.now);
            let holder = daemon.holder;
            if self.store.up && !left.frozen {
                self.store.release(ReleasedRecord { holder, rights });
            }
        }
        if self.store.up {
            self.store.revoke(vm);
        }
    }

    fn set_frozen(
        &mut self,
        vm: VmId,
        frozen: bool,
    ) {
        if let Some(vm) = self.vms.get_mut(&vm) {
            vm.frozen = frozen;
        }
    }

    fn update_list(&mut self) {
        self.store.listed = self.vms.keys().copied().collect();
        self.unlisted.clear();
    }

    fn unlist(
        &mut self,
        vm: VmId,
    ) {
        // The lease lapses no sooner than this.
        let until = self.now + Millis(500);
        let live = self.store.read(until).live;
        if live.iter().any(|live| live.vm == vm) {
            self.store.listed.remove(&vm);
            self.unlisted.insert(vm, until);
        }
    }

    fn configure(
        &mut self,
        vm: VmId,
    ) {
        let newest = self.limits.len() - 1;
        let now = self.now;
        if let Some(at) = self.awake(vm) {
            at.revision = newest;
        }
        let Some(at) = self.vms.get_mut(&vm).filter(|vm| !vm.frozen) else {
            return;
        };
        for budget in budgets(&self.limits) {
            for daemon in at
                .daemons
                .iter_mut()
                .filter(|d| d.holder.role == budget.role)
            {
                daemon.ledger.set_limit(budget.account, budget.limit, now);
            }
        }
        self.note_limits();
    }

    /// Notes the largest limit in force on any VM.
    fn note_limits(&mut self) {
        for account in ACCOUNTS {
            let limits = self
                .vms
                .values()
                .flat_map(|vm| budgets(&self.limits[..=vm.revision]));
            let largest = limits
                .filter(|budget| budget.account == account)
                .map(|budget| budget.limit)
                .reduce(|a, b| Limit {
                    rate: a.rate.max(b.rate),
                    burst: a.burst.max(b.burst),
                });
            if let Some(limit) = largest {
                self.in_force
                    .push((self.ran.len(), self.now, account, limit));
            }
        }
    }
}

/// The budgets of a revision: the second account comes with the second one.
fn budgets(limits: &[Limit]) -> Vec<Budget> {
    let gateways = |account, limit| Budget {
        account,
        role: Role::Gateway,
        limit,
    };
    let mut budgets = vec![
        gateways(ACCOUNTS[0], limits[limits.len() - 1]),
        Budget {
            account: ACCOUNTS[2],
            role: Role::Controller,
            limit: Limit { rate: 2, burst: 8 },
        },
    ];
    if limits.len() > 1 {
        budgets.push(gateways(
            ACCOUNTS[1],
            Limit {
                rate: 50,
                burst: 100,
            },
        ));
    }
    budgets
}
