use {
    super::{FeedPeer, VmRecord, vm_record::RecordError},
    crate::{clock::Clock, context::Context, links::RelayAddress, scheduling::Leader},
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

/// Prefix of the VM records, one per VM and bound to its lease. Written by that VM.
pub const VM_PREFIX: &str = "jasmine/vm/";
/// Key of the current leader, bound to the leader's lease. Its modification revision is the fencing token.
pub const LEADER_KEY: &str = "jasmine/scheduler";

/// Key of the last elected leader. Written with each election and not bound to a lease.
pub const LAST_LEADER_KEY: &str = "jasmine/last-scheduler";

/// Delay between the candidacies of successive VMs, so that usually only the first one calls the store.
const ELECTION_DELAY_STEP: Millis = Millis(80);
/// Extra delay on VMs that still reach the leader, which may regain a lease that expired during a store outage.
const INCUMBENT_DELAY: Millis = Millis(1_500);
/// A VM that has run for less than this counts as new.
const MAX_NEW_VM_AGE: Millis = Millis(10_000);
/// Extra election delay on a new VM, which knows less about the state of the engines.
const NEW_VM_DELAY: Millis = Millis(600);
/// Extra delay on VMs that reach no upstream, and so could not order engines.
const LOST_LINKS_DELAY: Millis = Millis(900);
/// Extra delay after a full restart on VMs that didn't lead last: the last leader may order engines without the order
/// gap.
const RESTART_DELAY: Millis = Millis(350);
/// No election before this on the first start of the deployment, so that all VMs can register first.
const FIRST_ELECTION_DELAY: Millis = Millis(1_000);
/// Age of a VM after which accounts' rates may have been used, also on the first start of the deployment.
const FIRST_START_TIMEOUT: Millis = Millis(9_000);

/// VMs that load all upstreams while there is no leader, to be ready for election.
const MAX_CANDIDATES: usize = 4;

/// VMs per remote data centre that are asked for changes when no local VM has them.
const MAX_READERS_PER_DATA_CENTRE: usize = 2;

/// The VM records and election state of the store, as this VM knows them.
#[derive(Debug)]
pub struct Membership {
    me: VmRecord,
    clock: Clock,
    started: Millis,
    /// Whether the store has been read completely since the start.
    is_loaded: Cell<bool>,
    /// Whether the leader key exists in the store.
    has_leader: Cell<bool>,
    /// Revision of the leader key, if an earlier run on this VM wrote it.
    predecessor: Cell<Option<u64>>,
    /// Revision of the leader key, if no VM wrote it: the next leader replaces it.
    foreign_leader: Cell<Option<u64>>,
    leaderless_since: Cell<Millis>,
    /// The last leader's identity and the revision of [`LAST_LEADER_KEY`].
    last_leader: RefCell<Option<(String, u64)>>,
    vms: RefCell<BTreeMap<String, VmRecord>>,
    /// Notified when there may be no leader any more.
    pub(super) leader_gone: Notify,
    /// The lease of this VM's record.
    pub(super) lease: Cell<Option<Lease>>,
    /// The lease of the leader key, while this VM leads or campaigns.
    pub(super) leader_lease: Cell<Option<Lease>>,
}

impl Membership {
    /// Creates the membership of the VM `me`, with no other VM known.
    pub fn new(me: VmRecord) -> Self {
        Self {
            me,
            clock: Clock,
            started: Clock.now(),
            is_loaded: Cell::new(false),
            has_leader: Cell::new(false),
            predecessor: Cell::new(None),
            foreign_leader: Cell::new(None),
            leaderless_since: Cell::new(Millis::ZERO),
            last_leader: RefCell::default(),
            vms: RefCell::default(),
            leader_gone: Notify::new(),
            lease: Cell::new(None),
            leader_lease: Cell::new(None),
        }
    }

    /// Marks the store as read completely: keys that weren't found don't exist.
    pub(super) fn set_loaded(&self) {
        self.is_loaded.set(true);
        self.leader_gone.notify_one();
    }

    /// Stores a VM's record; [`Self::publish_vms`] passes it to the scheduler.
    pub(super) fn set_vm(
        &self,
        kv: &KeyValue,
    ) {
        match VmRecord::decode(kv) {
            Ok(record) if kv.key.strip_prefix(VM_PREFIX) != Some(record.vm.as_str()) => {
                log_unreadable(kv, &RecordError::OtherVm(record.vm));
            }
            Ok(record) => {
                self.vms.borrow_mut().insert(record.vm.clone(), record);
            }
            Err(e) => log_unreadable(kv, &e),
        }
    }

    /// The keys of all known VMs.
    pub(super) fn keys(&self) -> Vec<String> {
        let vms = self.vms.borrow();
        vms.keys().map(|vm| format!("{VM_PREFIX}{vm}")).collect()
    }

    /// Passes the known VMs to the scheduler.
    pub(super) fn publish_vms(
        &self,
        cx: &Context,
    ) {
        cx.origins.set_vms(&self.addresses());
        cx.scheduling.set_vms(self.addresses());
        cx.links.set_peers(&self.relays());
    }

    /// Removes a VM whose record was deleted.
    pub(super) fn remove_vm(
        &self,
        cx: &Context,
        vm: &str,
    ) {
        self.vms.borrow_mut().remove(vm);
        self.publish_vms(cx);
    }

    /// Applies a value of the leader key.
    pub(super) fn set_leader(
        &self,
        cx: &Context,
        kv: &KeyValue,
    ) {
        let record = match VmRecord::decode(kv) {
            Ok(record) => record,
            Err(e) => return self.set_foreign_leader(kv, &e),
        };
        self.foreign_leader.set(None);
        self.has_leader.set(true);
        // This run could bind the port, so the earlier run has ended and its lease need not expire first.
        let is_predecessor = record.host_identity() == self.me.host_identity() && record != self.me;
        self.predecessor
            .set(is_predecessor.then_some(kv.mod_revision));
        if is_predecessor {
            self.leader_gone.notify_one();
            return;
        }
        let fence = Fence(kv.mod_revision);
        // A newer leader's announcement may arrive before older values of the key.
        let is_newest = cx
            .scheduling
            .leader()
            .is_none_or(|known| known.fence <= fence);
        let is_mine = is_newest && record == self.me && !cx.scheduling.is_leading();
        let lease = self.leader_lease.get().map(|lease| lease.id);
        if is_mine && lease == Some(LeaseId(kv.lease)) {
            // The transaction that wrote it succeeded, but its response was lost.
            return self.assume_leadership(cx, fence, false);
        }
        cx.scheduling.observe_leader(Leader {
            vm: record.vm,
            address: record.peers,
            fence,
            is_leaving: false,
        });
    }

    /// Records that the leader key has a value that no VM wrote, which no lease will remove.
    fn set_foreign_leader(
        &self,
        kv: &KeyValue,
        reason: &RecordError,
    ) {
        log_unreadable(kv, reason);
        self.remove_leader();
        self.foreign_leader.set(Some(kv.mod_revision));
    }

    /// Applies a value of [`LAST_LEADER_KEY`].
    pub(super) fn set_last_leader(
        &self,
        kv: &KeyValue,
    ) {
        let host_identity = String::from_utf8_lossy(&kv.value).into_owned();
        let is_newer = self
            .last_leader
            .borrow()
            .as_ref()
            .is_none_or(|&(_, revision)| revision < kv.mod_revision);
        if is_newer {
            self.last_leader
                .replace(Some((host_identity, kv.mod_revision)));
        }
    }

    /// Returns the revision of [`LAST_LEADER_KEY`] if an earlier run on this VM was the last leader.
    pub(super) fn own_last_leader_revision(&self) -> Option<u64> {
        let last = self.last_leader.borrow();
        let (host_identity, revision) = last.as_ref()?;
        (*host_identity == self.me.host_identity()).then_some(*revision)
    }

    /// Records that the leader key doesn't exist.
    pub(super) fn remove_leader(&self) {
        self.predecessor.set(None);
        self.foreign_leader.set(None);
        // Counted from this VM's first read, so that VMs that start together don't all campaign at once.
        let is_first_look = self.leaderless_since.get() == Millis::ZERO;
        if self.has_leader.replace(false) || is_first_look {
            self.leaderless_since.set(self.clock.now());
            self.leader_gone.notify_one();
        }
    }

    /// Makes this VM the leader. `was_last_leader` is set if the election proved that an earlier run on it led last.
    pub(super) fn assume_leadership(
        &self,
        cx: &Context,
        fence: Fence,
        was_last_leader: bool,
    ) {
        self.has_leader.set(true);
        let continues_previous_run = self.predecessor.take().is_some() || was_last_leader;
        let age = self.clock.now().since(self.started);
        // An earlier leader may have used up rates and ordered engines.
        let is_first = cx.scheduling.leader().is_none() && self.last_leader.borrow().is_none();
        let share = if cx.settings.first_start && age < FIRST_START_TIMEOUT && is_first {
            RateShare::Fresh
        } else {
            RateShare::TakenOver
        };
        cx.scheduling.become_leader(fence, share);
        if continues_previous_run {
            cx.scheduling.local_scheduler.skip_order_gap();
        }
    }

    /// This VM's record.
    pub(super) const fn me(&self) -> &VmRecord {
        &self.me
    }

    /// This VM's rank, the same on all VMs.
    pub fn rank(&self) -> VmRank {
        self.me.rank()
    }

    /// The other VMs of this data centre, by rank.
    pub(super) fn local_peers(&self) -> BTreeMap<VmRank, FeedPeer> {
        let vms = self.vms.borrow();
        let is_local =
            |vm: &&VmRecord| vm.data_centre == self.me.data_centre && vm.vm != self.me.vm;
        let entry = |vm: &VmRecord| FeedPeer {
            name: vm.vm.clone(),
            address: vm.peers,
        };
        vms.values()
            .filter(is_local)
            .map(|vm| (vm.rank(), entry(vm)))
            .collect()
    }

    /// The VMs of other data centres that read the store for their data centre, or are next in rank.
    pub(super) fn remote_readers(&self) -> BTreeMap<VmRank, FeedPeer> {
        let vms = self.vms.borrow();
        let mut by_data_centre: BTreeMap<&str, BTreeMap<VmRank, FeedPeer>> = BTreeMap::new();
        for vm in vms
            .values()
            .filter(|vm| vm.data_centre != self.me.data_centre)
        {
            let entry = FeedPeer {
                name: vm.vm.clone(),
                address: vm.peers,
            };
            let vms_there = by_data_centre.entry(&vm.data_centre).or_default();
            vms_there.insert(vm.rank(), entry);
        }
        let readers = by_data_centre
            .into_values()
            .flat_map(|vms_there| vms_there.into_iter().take(MAX_READERS_PER_DATA_CENTRE));
        readers.collect()
    }

    fn addresses(&self) -> BTreeMap<String, SocketAddr> {
        let vms = self.vms.borrow();
        vms.iter()
            .map(|(name, vm)| (name.clone(), vm.peers))
            .collect()
    }

    /// Where the other VMs take requests for upstreams.
    fn relays(&self) -> Vec<RelayAddress> {
        let vms = self.vms.borrow();
        let others = vms.values().filter(|vm| vm.vm != self.me.vm);
        let relay = |vm: &VmRecord| {
            Some(RelayAddress {
                address: vm.relay?,
                data_centre: vm.data_centre.clone(),
            })
        };
        others.filter_map(relay).collect()
    }

    /// Counts the VMs that come before this one in an election.
    ///
    /// VMs with more processor come first; ties are broken by a hash that changes with each election.
    pub(super) fn candidates_before_me(
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

    /// The processor of the strongest other VM, in percent of a core.
    pub(super) fn strongest_other(&self) -> Option<u32> {
        let vms = self.vms.borrow();
        let others = vms.values().filter(|vm| vm.vm != self.me.vm);
        others.map(|vm| vm.processor_percent).max()
    }

    /// Whether this VM is among the first candidates, or led before it restarted.
    pub(super) fn is_candidate(
        &self,
        cx: &Context,
    ) -> bool {
        self.own_last_leader_revision().is_some()
            || self.predecessor.get().is_some()
            || self.candidates_before_me(cx) < MAX_CANDIDATES
    }

    /// This VM's delay if all VMs act one after the other, `each` apart, in hash order.
    pub(super) fn stagger_delay(
        &self,
        each: Millis,
    ) -> Millis {
        let vms = self.vms.borrow().len().max(1) as u64;
        Millis(xxh3_64(self.me.vm.as_bytes()) % (vms * each.0))
    }

    /// How long this VM waits before it campaigns when there is no leader.
    pub(super) fn election_delay(
        &self,
        cx: &Context,
    ) -> Millis {
        let leader = cx.scheduling.leader();
        let is_leaving = leader.as_ref().is_some_and(|leader| leader.is_leaving);
        let incumbent_delay = if cx.scheduling.is_following() && !is_leaving {
            INCUMBENT_DELAY
        } else {
            Millis::ZERO
        };
        let is_new =
            self.clock.now().since(self.started) < MAX_NEW_VM_AGE && !self.vms.borrow().is_empty();
        let new_vm_delay = if is_new && leader.is_some() {
            NEW_VM_DELAY
        } else {
            Millis::ZERO
        };
        let is_restart = is_new && leader.is_none();
        let lost_links_delay = if cx.links.is_lost() {
            LOST_LINKS_DELAY
        } else {
            Millis::ZERO
        };
        let delay = match (
            self.own_last_leader_revision().is_some(),
            self.last_leader.borrow().is_some(),
        ) {
            (true, _) if is_new => Millis::ZERO,
            (false, true) if is_restart => {
                Millis(self.candidates_before_me(cx) as u64 * ELECTION_DELAY_STEP.0) + RESTART_DELAY
            }
            _ => {
                Millis(self.candidates_before_me(cx) as u64 * ELECTION_DELAY_STEP.0)
                    + incumbent_delay
                    + new_vm_delay
            }
        };
        delay + lost_links_delay
    }

    /// Whether this VM is new, wasn't the last leader and knows no leader.
    pub(super) fn is_new_without_leader(
        &self,
        cx: &Context,
    ) -> bool {
        let is_new = self.clock.now().since(self.started) < MAX_NEW_VM_AGE;
        let led_last =
            self.predecessor.get().is_some() || self.own_last_leader_revision().is_some();
        is_new && !led_last && cx.scheduling.leader().is_none()
    }

    /// Whether the store has a leader key that wasn't written by an earlier run on this VM.
    pub(super) fn has_other_leader(&self) -> bool {
        self.has_leader.get() && self.predecessor.get().is_none()
    }

    /// Revision of the leader key that this VM may replace: an earlier run on it wrote the key, or no VM did.
    pub(super) fn replaceable_leader(&self) -> Option<u64> {
        self.predecessor.get().or(self.foreign_leader.get())
    }

    /// Whether this VM may campaign now.
    pub(super) fn can_campaign(
        &self,
        cx: &Context,
    ) -> bool {
        let now = self.clock.now();
        let waited = now.since(self.leaderless_since.get());
        let is_early = cx.settings.first_start && now.since(self.started) < FIRST_ELECTION_DELAY;
        let is_free = !self.has_leader.get() && !is_early && waited >= self.election_delay(cx);
        let is_own = self.predecessor.get().is_some() || cx.scheduling.is_leading();
        self.is_loaded.get() && (is_free || (is_own && !self.has_other_leader()))
    }
}

fn log_unreadable(
    kv: &KeyValue,
    e: &RecordError,
) {
    Line::new("record_unreadable")
        .with("key", &kv.key)
        .with("reason", e)
        .warn();
}
