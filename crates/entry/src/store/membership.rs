use {
    super::{VmEntry, VmRecord},
    crate::{clock::Clock, context::Context, scheduling::Leader},
    jasmine_core::{clock::Millis, feed::VmRank, ids::Fence, scheduler::RateShare},
    jasmine_store::store::{KeyValue, Lease, LeaseId},
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        cmp::Reverse,
        collections::BTreeMap,
        net::SocketAddr,
    },
    tokio::sync::Notify,
    xxhash_rust::xxh3::xxh3_64,
};

/// Each VM's entry under its name, on a lease. Written by that VM.
pub const VM_PREFIX: &str = "jasmine/vm/";
/// The VM that schedules, on a lease of its own. Created by whoever is elected; the revision is its fencing token.
pub const LEADER_KEY: &str = "jasmine/scheduler";

/// The VM that scheduled last, under its name; outlives its lease, and is written with each election.
pub const LAST_KEY: &str = "jasmine/last-scheduler";

/// VMs that may take the lead try one after the other, so that the first succeeds and the others don't call.
const TURN: Millis = Millis(80);
/// What a VM that still reaches the leader leaves it to come back by itself: its lease lapsed in an outage.
const INCUMBENT: Millis = Millis(1_500);
/// A VM that started less than this ago leaves the lead to others, for so long.
const NEW: Millis = Millis(10_000);
const NEWCOMER: Millis = Millis(600);
/// What a VM that has just started leaves one that scheduled last, where that one isn't itself: after all have lost power
/// it may order engines at once, while another one has to let them rest.
const LAST_FIRST: Millis = Millis(350);
/// At a first start all VMs enter within this time, and the one that leads is chosen among all of them.
const GATHERING: Millis = Millis(1_000);
/// A first start of the deployment is over after this long: rates may have been used by then.
const FIRST_START: Millis = Millis(9_000);

/// VMs that get ready to lead when nobody does.
const CANDIDATES: usize = 4;

/// VMs of another data centre that are asked for changes, where this one's don't have them.
const READERS: usize = 2;

/// What this VM knows of the others, from the store.
#[derive(Debug)]
pub struct Membership {
    me: VmRecord,
    clock: Clock,
    started: Millis,
    /// Whether the store has been read since the start.
    is_loaded: Cell<bool>,
    /// Whether the store has a leader's key.
    has_leader: Cell<bool>,
    /// The revision of a leader's key that an earlier run on this VM wrote.
    predecessor: Cell<Option<u64>>,
    absent_since: Cell<Millis>,
    /// The VM that scheduled last, with the revision of that entry.
    last: RefCell<Option<(String, u64)>>,
    vms: RefCell<BTreeMap<String, VmRecord>>,
    /// Told when the lead may have become free.
    pub(super) changed: Notify,
    /// The lease of this VM's entry.
    pub(super) lease: Cell<Option<Lease>>,
    /// The lease of the leader's key, while this VM leads or stands for it.
    pub(super) lead_lease: Cell<Option<Lease>>,
}

impl Membership {
    /// The membership of the VM `me`.
    pub fn new(me: VmRecord) -> Self {
        Self {
            me,
            clock: Clock,
            started: Clock.now(),
            is_loaded: Cell::new(false),
            has_leader: Cell::new(false),
            predecessor: Cell::new(None),
            absent_since: Cell::new(Millis::ZERO),
            last: RefCell::default(),
            vms: RefCell::default(),
            changed: Notify::new(),
            lease: Cell::new(None),
            lead_lease: Cell::new(None),
        }
    }

    /// The store has been read: what it didn't hold doesn't exist.
    pub(super) fn set_loaded(&self) {
        self.is_loaded.set(true);
        self.changed.notify_one();
    }

    /// Takes a VM's entry; [`Self::publish_vms`] puts it into use.
    pub(super) fn set_vm(
        &self,
        kv: &KeyValue,
    ) {
        match serde_json::from_slice::<VmRecord>(&kv.value) {
            Ok(record) => {
                self.vms.borrow_mut().insert(record.vm.clone(), record);
            }
            Err(e) => unreadable(kv, &e),
        }
    }

    /// Tells whoever decides which VMs there are.
    pub(super) fn publish_vms(
        &self,
        cx: &Context,
    ) {
        cx.scheduling.set_vms(self.addresses());
    }

    /// Forgets a VM whose entry is gone.
    pub(super) fn remove_vm(
        &self,
        cx: &Context,
        vm: &str,
    ) {
        self.vms.borrow_mut().remove(vm);
        self.publish_vms(cx);
    }

    /// Keeps those VMs only that the store was seen to hold.
    pub(super) fn retain_vms(
        &self,
        cx: &Context,
        names: &[&str],
    ) {
        self.vms
            .borrow_mut()
            .retain(|vm, _| names.contains(&vm.as_str()));
        self.publish_vms(cx);
    }

    /// Takes the leader's key.
    pub(super) fn set_leader(
        &self,
        cx: &Context,
        kv: &KeyValue,
    ) {
        let record = match serde_json::from_slice::<VmRecord>(&kv.value) {
            Ok(record) => record,
            Err(e) => return unreadable(kv, &e),
        };
        self.has_leader.set(true);
        // Its port was free for this run, so the run that wrote it is over: nobody has to wait for its lease.
        let is_predecessor = record.machine() == self.me.machine() && record != self.me;
        self.predecessor
            .set(is_predecessor.then_some(kv.mod_revision));
        if is_predecessor {
            self.changed.notify_one();
            return;
        }
        let fence = Fence(kv.mod_revision);
        // An old value of the key can still be on its way when another VM has said that it leads.
        let is_newest = cx
            .scheduling
            .leader()
            .is_none_or(|known| known.fence <= fence);
        let is_mine = is_newest && record == self.me && !cx.scheduling.is_leading();
        let lease = self.lead_lease.get().map(|lease| lease.id);
        if is_mine && lease == Some(LeaseId(kv.lease)) {
            // The answer to the call that wrote it was lost.
            return self.take_lead(cx, fence, false);
        }
        cx.scheduling.observe_leader(Leader {
            vm: record.vm,
            address: record.peers,
            fence,
            is_leaving: false,
        });
    }

    /// Takes the entry of the VM that scheduled last.
    pub(super) fn set_last(
        &self,
        kv: &KeyValue,
    ) {
        let machine = String::from_utf8_lossy(&kv.value).into_owned();
        let is_newer = self
            .last
            .borrow()
            .as_ref()
            .is_none_or(|&(_, revision)| revision < kv.mod_revision);
        if is_newer {
            self.last.replace(Some((machine, kv.mod_revision)));
        }
    }

    /// The revision of that entry, where it says that an earlier run on this VM scheduled last.
    pub(super) fn last_was_me(&self) -> Option<u64> {
        let last = self.last.borrow();
        let (machine, revision) = last.as_ref()?;
        (*machine == self.me.machine()).then_some(*revision)
    }

    /// The leader's key is gone.
    pub(super) fn remove_leader(&self) {
        self.predecessor.set(None);
        // Counted from when this VM first looked: all that start together would try to lead at once.
        let is_first_look = self.absent_since.get() == Millis::ZERO;
        if self.has_leader.replace(false) || is_first_look {
            self.absent_since.set(self.clock.now());
            self.changed.notify_one();
        }
    }

    /// This VM leads from now on. `claims_last` says that the election proved that an earlier run on it led last.
    pub(super) fn take_lead(
        &self,
        cx: &Context,
        fence: Fence,
        claims_last: bool,
    ) {
        self.has_leader.set(true);
        let continues_own = self.predecessor.take().is_some() || claims_last;
        let age = self.clock.now().since(self.started);
        // Where another VM has led already, it has let requests through and given orders.
        let is_first = cx.scheduling.leader().is_none() && self.last.borrow().is_none();
        let share = if cx.settings.first_start && age < FIRST_START && is_first {
            RateShare::Fresh
        } else {
            RateShare::TakenOver
        };
        cx.scheduling.become_leader(fence, share);
        if continues_own {
            cx.scheduling.local_scheduler.skip_order_gap();
        }
    }

    /// This VM's record.
    pub(super) const fn me(&self) -> &VmRecord {
        &self.me
    }

    /// This VM's place in the order that all agree on.
    pub fn rank(&self) -> VmRank {
        self.me.rank()
    }

    /// The other VMs of this data centre, in that order.
    pub(super) fn peers_here(&self) -> BTreeMap<VmRank, VmEntry> {
        let vms = self.vms.borrow();
        let is_here = |vm: &&VmRecord| vm.data_centre == self.me.data_centre && vm.vm != self.me.vm;
        let entry = |vm: &VmRecord| VmEntry {
            name: vm.vm.clone(),
            address: vm.peers,
        };
        vms.values()
            .filter(is_here)
            .map(|vm| (vm.rank(), entry(vm)))
            .collect()
    }

    /// The VMs of other data centres that read the store for the others there, or would be next to do so.
    pub(super) fn readers_elsewhere(&self) -> BTreeMap<VmRank, VmEntry> {
        let vms = self.vms.borrow();
        let mut by_place: BTreeMap<&str, BTreeMap<VmRank, VmEntry>> = BTreeMap::new();
        for vm in vms
            .values()
            .filter(|vm| vm.data_centre != self.me.data_centre)
        {
            let entry = VmEntry {
                name: vm.vm.clone(),
                address: vm.peers,
            };
            let place = by_place.entry(&vm.data_centre).or_default();
            place.insert(vm.rank(), entry);
        }
        let readers = by_place
            .into_values()
            .flat_map(|place| place.into_iter().take(READERS));
        readers.collect()
    }

    fn addresses(&self) -> BTreeMap<String, SocketAddr> {
        let vms = self.vms.borrow();
        vms.iter()
            .map(|(name, vm)| (name.clone(), vm.peers))
            .collect()
    }

    /// How many VMs may take the lead before this one: those with more processor, as scheduling for 140 engines and 850
    /// requests a second takes a quarter of a core, and among equals each time another one first.
    pub(super) fn before_me(
        &self,
        cx: &Context,
    ) -> usize {
        let known = cx.scheduling.leader();
        let fence = known.as_ref().map_or(0, |leader| leader.fence.0);
        let rank = |vm: &VmRecord| {
            let hash = xxh3_64(format!("{fence}/{}", vm.vm).as_bytes());
            (Reverse(vm.processor_percent), hash)
        };
        let may_lead = |vm: &&VmRecord| known.as_ref().is_none_or(|leader| leader.vm != vm.vm);
        let mine = rank(&self.me);
        let vms = self.vms.borrow();
        vms.values()
            .filter(may_lead)
            .filter(|vm| rank(vm) < mine)
            .count()
    }

    /// Whether this VM is among the first to take a free lead, or led before it started.
    pub(super) fn is_candidate(
        &self,
        cx: &Context,
    ) -> bool {
        self.last_was_me().is_some()
            || self.predecessor.get().is_some()
            || self.before_me(cx) < CANDIDATES
    }

    /// This VM's turn where each VM does something `each` after the other, in an order of chance.
    pub(super) fn share_of(
        &self,
        each: Millis,
    ) -> Millis {
        let vms = self.vms.borrow().len().max(1) as u64;
        Millis(xxh3_64(self.me.vm.as_bytes()) % (vms * each.0))
    }

    /// How long this VM waits before it tries to take a lead that is free.
    pub(super) fn turn(
        &self,
        cx: &Context,
    ) -> Millis {
        let leader = cx.scheduling.leader();
        let is_leaving = leader.as_ref().is_some_and(|leader| leader.is_leaving);
        let incumbent = if cx.scheduling.is_following() && !is_leaving {
            INCUMBENT
        } else {
            Millis::ZERO
        };
        // One that has just started knows less of what engines have at hand.
        let is_new = self.clock.now().since(self.started) < NEW && !self.vms.borrow().is_empty();
        let newcomer = if is_new && leader.is_some() {
            NEWCOMER
        } else {
            Millis::ZERO
        };
        let is_restart = is_new && leader.is_none();
        match (self.last_was_me().is_some(), self.last.borrow().is_some()) {
            (true, _) if is_new => Millis::ZERO,
            (false, true) if is_restart => Millis(self.before_me(cx) as u64 * TURN.0) + LAST_FIRST,
            _ => Millis(self.before_me(cx) as u64 * TURN.0) + incumbent + newcomer,
        }
    }

    /// Whether this VM has just started among others, none of which led before it as far as it knows.
    pub(super) fn knows_no_leader(
        &self,
        cx: &Context,
    ) -> bool {
        let is_new = self.clock.now().since(self.started) < NEW;
        let led_last = self.predecessor.get().is_some() || self.last_was_me().is_some();
        is_new && !led_last && cx.scheduling.leader().is_none()
    }

    /// Whether the store has the key of a leader on another VM, or of this run.
    pub(super) fn has_other_leader(&self) -> bool {
        self.has_leader.get() && self.predecessor.get().is_none()
    }

    /// The revision of a leader's key that an earlier run on this VM wrote.
    pub(super) const fn predecessor(&self) -> Option<u64> {
        self.predecessor.get()
    }

    /// Whether this VM may take the lead now.
    pub(super) fn may_stand(
        &self,
        cx: &Context,
    ) -> bool {
        let now = self.clock.now();
        let waited = now.since(self.absent_since.get());
        let is_early = cx.settings.first_start && now.since(self.started) < GATHERING;
        let is_free = !self.has_leader.get() && !is_early && waited >= self.turn(cx);
        let is_own = self.predecessor.get().is_some() || cx.scheduling.is_leading();
        self.is_loaded.get() && (is_free || (is_own && !self.has_other_leader()))
    }
}

fn unreadable(
    kv: &KeyValue,
    e: &serde_json::Error,
) {
    Line::new("record_unreadable")
        .with("key", &kv.key)
        .with("reason", e)
        .warn();
}
