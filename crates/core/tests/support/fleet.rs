use {
    super::{
        Event, MessageFate,
        configuration::{ACCOUNTS, budgets},
        daemon::{Daemon, Outcome},
        messages::Message,
        reference::Usage,
        store::Store,
    },
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, Holder, Incarnation, Role, TransferId, VmId},
        membership::{
            Budget, EpochAction, EpochMachine, HoldingsRecord, LiveVm, MembershipSettings,
            ReleasedRecord, StoreView,
        },
        rights::{CallerTag, FULL_SHARE, Limit, OutgoingTakeRequest, RightsSettings, TakeResponse},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        fmt::Write as _,
    },
};

const LEASE_TTL: Millis = Millis(3000);
pub const MAX_LIST_LAG: Millis = Millis(5000);
const STEP: Millis = Millis(50);

/// A running VM.
#[derive(Debug)]
pub struct Vm {
    pub(super) frozen: bool,
    /// Revision of the applied configuration.
    pub(super) revision: usize,
    pub(super) daemons: [Daemon; 2],
    pub(super) machine: EpochMachine,
    pub(super) view: StoreView,
    pub(super) to_write: VecDeque<EpochAction>,
}

/// A simulated fleet with its store and links.
#[derive(Debug)]
pub struct Fleet {
    pub now: Millis,
    pub(super) settings: RightsSettings,
    pub store: Store,
    pub(super) vms: BTreeMap<VmId, Vm>,
    pub(super) last_run: BTreeMap<VmId, Incarnation>,
    pub(super) unlisted: BTreeMap<VmId, Millis>,
    pub(super) messages: VecDeque<Message>,
    /// Limit of the first account at each revision.
    pub(super) limits: Vec<Limit>,
    pub(super) ran: Vec<Usage>,
    /// Limit changes: number of requests before it, time, account and limit.
    pub(super) limit_changes: Vec<(usize, Millis, AccountId, Limit)>,
    callers: u64,
}

impl Fleet {
    /// Creates a fleet of `vms` VMs that have just started.
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
            messages: VecDeque::new(),
            limits: vec![Limit {
                rate: 100,
                burst: 100,
            }],
            ran: Vec::new(),
            limit_changes: Vec::new(),
            callers: 0,
        };
        fleet.store.up = true;
        for vm in 1..=vms {
            fleet.start(VmId(vm));
        }
        fleet.update_list();
        fleet
    }

    /// Applies an event.
    pub fn apply(
        &mut self,
        event: Event,
    ) -> Vec<Outcome> {
        match event {
            Event::Advance(by) => self.advance(by),
            Event::Request {
                vm,
                controller,
                is_second_account,
                cost,
                usage_percent,
            } => {
                return self.request(vm, controller, is_second_account, cost, usage_percent);
            }
            Event::Finish(vm) => self.finish(vm),
            Event::Tick { vm, loses_report } => return self.tick(vm, loses_report),
            Event::Read {
                vm,
                keeps_stale_list,
            } => self.read(vm, keeps_stale_list),
            Event::Decide(vm) => self.decide(vm),
            Event::Write(vm) => self.write(vm),
            Event::HandleMessage(fate, index) => return self.deliver_message(fate, index),
            Event::DeliverAll => return self.deliver_all(),
            Event::Run {
                time,
                loses_reports,
            } => return self.work(time, loses_reports),
            Event::Kill(vm) => drop(self.vms.remove(&vm)),
            Event::Start(vm) => self.start(vm),
            Event::Stop(vm) => self.stop(vm),
            Event::Freeze(vm) => self.set_frozen(vm, true),
            Event::Thaw(vm) => self.set_frozen(vm, false),
            Event::Store(up) => self.store.up = up,
            Event::UpdateList => self.update_list(),
            Event::OmitFromList(vm) => self.omit_from_list(vm),
            Event::Limit(rate) => self.limits.push(Limit {
                rate,
                burst: rate * 2,
            }),
            Event::Configure(vm) => self.configure(vm),
        }
        Vec::new()
    }

    /// Runs all VMs for a while, with links and store.
    pub fn run(
        &mut self,
        time: Millis,
    ) -> Vec<Outcome> {
        self.work(time, false)
    }

    fn work(
        &mut self,
        time: Millis,
        loses_reports: bool,
    ) -> Vec<Outcome> {
        let end = self.now + time;
        let mut outcomes = Vec::new();
        while self.now < end {
            let vms: Vec<VmId> = self.vms.keys().copied().collect();
            for vm in vms {
                self.read(vm, false);
                self.decide(vm);
                while self.is_awake(vm) && !self.vms[&vm].to_write.is_empty() {
                    self.write(vm);
                }
                outcomes.extend(self.tick(vm, loses_reports));
            }
            outcomes.extend(self.deliver_all());
            self.advance(STEP);
        }
        outcomes
    }

    /// Ends all faults except dead VMs, and ensures that at least one VM is alive.
    pub fn recover(&mut self) {
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

    /// Number of messages in transit.
    pub fn in_transit(&self) -> usize {
        self.messages.len()
    }

    /// Number of admitted requests.
    pub fn ran(&self) -> usize {
        self.ran.len()
    }

    pub(super) fn daemons(&self) -> impl Iterator<Item = &Daemon> {
        self.vms.values().flat_map(|vm| &vm.daemons)
    }

    fn is_awake(
        &self,
        vm: VmId,
    ) -> bool {
        self.vms.get(&vm).is_some_and(|vm| !vm.frozen)
    }

    pub(super) fn awake(
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
        let live = self.store.read(self.now).live;
        let (now, store, vms) = (self.now, &mut self.store, &self.vms);
        self.unlisted.retain(|vm, until| {
            // Omitting a VM without a lease would count as proof of its death.
            let goes_on = now < *until && live.iter().any(|live| live.vm == *vm);
            if !goes_on && vms.contains_key(vm) {
                store.listed.insert(*vm);
            }
            goes_on
        });
    }

    fn request(
        &mut self,
        vm: VmId,
        controller: bool,
        is_second_account: bool,
        cost: u64,
        usage_percent: u64,
    ) -> Vec<Outcome> {
        let account = ACCOUNTS[if controller {
            2
        } else {
            usize::from(is_second_account)
        }];
        let cost = if controller { cost % 8 + 1 } else { cost };
        self.callers += 1;
        let (now, caller) = (self.now, CallerTag(self.callers));
        let Some(at) = self.vms.get_mut(&vm).filter(|vm| !vm.frozen) else {
            return Vec::new();
        };
        let daemon = &mut at.daemons[usize::from(controller)];
        let actual_tokens = cost * usage_percent.min(100) / 100;
        let (outcome, asks) =
            daemon.request(account, cost, actual_tokens, caller, now, &mut self.ran);
        self.messages.extend(asks.into_iter().map(Message::Request));
        vec![outcome]
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
        loses_report: bool,
    ) -> Vec<Outcome> {
        let (now, mut outcomes) = (self.now, Vec::new());
        let Some(at) = self.vms.get_mut(&vm).filter(|vm| !vm.frozen) else {
            return outcomes;
        };
        for daemon in &mut at.daemons {
            let (more, asks) = daemon.retry(now, &mut self.ran);
            outcomes.extend(
                more.into_iter()
                    .filter(|outcome| *outcome != Outcome::Pending),
            );
            let again = daemon.ledger.due_resends(now);
            let ahead = daemon.ledger.prefetch(now);
            let all = asks.into_iter().chain(again).chain(ahead);
            self.messages.extend(all.map(Message::Request));
            let Some(epoch) = &at.view.epoch else {
                continue;
            };
            let Some(rights) = daemon.handle_epoch(&epoch.value, now) else {
                continue;
            };
            if self.store.up && !loses_report {
                self.store.report(HoldingsRecord {
                    epoch: epoch.value.epoch,
                    holder: daemon.holder,
                    rights,
                });
            }
        }
        outcomes
    }

    fn read(
        &mut self,
        vm: VmId,
        keeps_stale_list: bool,
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
            now + LEASE_TTL,
        );
        let mut view = self.store.read(now);
        if keeps_stale_list && at.view.listed.is_some() {
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
}
