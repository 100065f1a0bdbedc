use {
    super::KvStore,
    crate::{clock::Clock, context::Context, scheduling::Leader},
    jasmine_core::{clock::Millis, ids::Fence, scheduler::RightsShare},
    jasmine_store::store::{Compare, KeyValue, Lease, Op, Store, StoreError, Txn},
    jasmine_telemetry::log::Line,
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Each VM's entry under its name, on a lease. Written by that VM.
pub const VM_PREFIX: &str = "jasmine/vm/";
/// The VM that schedules, on its lease. Created by whoever is elected; the revision is its fencing token.
pub const LEADER_KEY: &str = "jasmine/scheduler";

/// How long a VM's lease lasts. A leader that dies is replaced after this at the latest; it has to survive
/// some lost renewals, each of which takes up to a second to fail.
const LEASE: Millis = Millis(1_600);
/// How often the leader renews it.
const RENEW_EVERY: Millis = Millis(400);
/// How often the others do: nothing is lost but a call or two when theirs lapses, and a lead taken right before
/// a renewal still has half the lease left. With 63 VMs renewals were most of what the store was asked.
const RENEW_IDLE: Millis = Millis(800);
/// The pause after a failed call.
const RETRY_EVERY: Millis = Millis(200);
/// VMs that may take the lead try one after the other, so that the first succeeds and the others don't call.
const TURN: Millis = Millis(80);
/// What a VM that still reaches the leader leaves it to come back by itself: its lease lapsed in an outage.
const INCUMBENT: Millis = Millis(1_500);
/// A VM that started less than this ago leaves the lead to others, for so long.
const NEW: Millis = Millis(10_000);
const NEWCOMER: Millis = Millis(600);
/// A first start of the deployment is over after this long: rates may have been used by then.
const FIRST_START: Millis = Millis(9_000);

/// What a VM writes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct VmRecord {
    vm: String,
    peers: SocketAddr,
    incarnation: u64,
}

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
    vms: RefCell<BTreeMap<String, SocketAddr>>,
    changed: Notify,
    lease: Cell<Option<Lease>>,
}

impl Membership {
    /// The membership of the VM `vm`, whose peers reach it at `peers`.
    pub fn new(
        vm: String,
        peers: SocketAddr,
        incarnation: u64,
    ) -> Self {
        Self {
            me: VmRecord {
                vm,
                peers,
                incarnation,
            },
            clock: Clock,
            started: Clock.now(),
            is_loaded: Cell::new(false),
            has_leader: Cell::new(false),
            predecessor: Cell::new(None),
            absent_since: Cell::new(Millis::ZERO),
            vms: RefCell::default(),
            changed: Notify::new(),
            lease: Cell::new(None),
        }
    }

    /// The store has been read: what it didn't hold doesn't exist.
    pub(super) fn set_loaded(&self) {
        self.is_loaded.set(true);
        self.changed.notify_one();
    }

    /// Takes a VM's entry.
    pub(super) fn set_vm(
        &self,
        cx: &Context,
        kv: &KeyValue,
    ) {
        match serde_json::from_slice::<VmRecord>(&kv.value) {
            Ok(record) => {
                self.vms.borrow_mut().insert(record.vm, record.peers);
            }
            Err(e) => unreadable(kv, &e),
        }
        cx.scheduling.set_vms(self.vms.borrow().clone());
    }

    /// Forgets a VM whose entry is gone.
    pub(super) fn remove_vm(
        &self,
        cx: &Context,
        vm: &str,
    ) {
        self.vms.borrow_mut().remove(vm);
        cx.scheduling.set_vms(self.vms.borrow().clone());
    }

    /// Keeps those VMs only that the store was seen to hold.
    pub(super) fn retain_vms(
        &self,
        cx: &Context,
        names: &[&str],
    ) {
        let mut vms = self.vms.borrow_mut();
        vms.retain(|vm, _| names.contains(&vm.as_str()));
        cx.scheduling.set_vms(vms.clone());
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
        let is_predecessor = record.vm == self.me.vm && record != self.me;
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
        let lease = self.lease.get().map(|lease| lease.id.0);
        if is_mine && lease == Some(kv.lease) {
            // The answer to the call that wrote it was lost.
            return self.take_lead(cx, fence);
        }
        cx.scheduling.consider(Leader {
            vm: record.vm,
            address: record.peers,
            fence,
            is_leaving: false,
        });
    }

    /// The leader's key is gone.
    pub(super) fn remove_leader(&self) {
        self.predecessor.set(None);
        if self.has_leader.replace(false) {
            self.absent_since.set(self.clock.now());
            self.changed.notify_one();
        }
    }

    fn take_lead(
        &self,
        cx: &Context,
        fence: Fence,
    ) {
        let age = self.clock.now().since(self.started);
        let share = if cx.settings.first_start && age < FIRST_START {
            RightsShare::Fresh
        } else {
            RightsShare::TakenOver
        };
        cx.scheduling.lead(fence, share);
    }

    /// How long this VM waits before it tries to take the lead: another one each time goes first.
    fn turn(
        &self,
        cx: &Context,
    ) -> Millis {
        let known = cx.scheduling.leader().map_or(0, |leader| leader.fence.0);
        let rank = |vm: &str| xxh3_64(format!("{known}/{vm}").as_bytes());
        let vms = self.vms.borrow();
        let before = vms.keys().filter(|vm| rank(vm) < rank(&self.me.vm)).count();
        let is_leaving = cx
            .scheduling
            .leader()
            .is_some_and(|leader| leader.is_leaving);
        let incumbent = if cx.scheduling.is_following() && !is_leaving {
            INCUMBENT
        } else {
            Millis::ZERO
        };
        // One that has just started knows less of what engines have at hand.
        let is_new = self.clock.now().since(self.started) < NEW && !vms.is_empty();
        let newcomer = if is_new && known > 0 {
            NEWCOMER
        } else {
            Millis::ZERO
        };
        Millis(before as u64 * TURN.0) + incumbent + newcomer
    }

    /// Whether the store has the key of a leader on another VM, or of this run.
    fn has_other_leader(&self) -> bool {
        self.has_leader.get() && self.predecessor.get().is_none()
    }

    fn may_stand(
        &self,
        cx: &Context,
    ) -> bool {
        let waited = self.clock.now().since(self.absent_since.get());
        let is_free = !self.has_leader.get() && waited >= self.turn(cx);
        let is_own = self.predecessor.get().is_some() || cx.scheduling.is_leading();
        self.is_loaded.get() && (is_free || (is_own && !self.has_other_leader()))
    }
}

/// Keeps this VM's lease and entry, and stands for the lead when nobody has it; for ever.
pub async fn keep_membership(
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
) {
    loop {
        match enter(&cx, &store, &membership).await {
            Ok(lease) => stay(&cx, &store, &membership, lease).await,
            Err(e) => {
                Line::new("lease_failed").with("reason", e).warn();
                sleep(RETRY_EVERY.to_std()).await;
            }
        }
    }
}

/// Ends this VM's lease, and with it its entry and its lead.
///
/// # Errors
///
/// Whatever the store says; the lease then ends by itself.
pub async fn leave(
    store: &KvStore,
    membership: &Membership,
) -> Result<(), StoreError> {
    match membership.lease.take() {
        Some(lease) => store.revoke(lease.id).await,
        None => Ok(()),
    }
}

async fn enter(
    cx: &Context,
    store: &KvStore,
    membership: &Membership,
) -> Result<Lease, StoreError> {
    let ttl = LEASE.max(cx.settings.least_lease_ms);
    let lease = store.grant(ttl).await?;
    membership.lease.set(Some(lease));
    let key = format!("{VM_PREFIX}{}", membership.me.vm);
    let txn = Txn {
        success: vec![Op::put_leased(key, record(&membership.me), lease.id)],
        ..Txn::default()
    };
    store.txn(txn).await?;
    Line::new("lease_taken").with("lease", lease.id).info();
    Ok(lease)
}

/// Renews the lease until it has ended.
async fn stay(
    cx: &Context,
    store: &KvStore,
    membership: &Membership,
    lease: Lease,
) {
    loop {
        if membership.may_stand(cx) {
            stand(cx, store, membership, lease).await;
        }
        let every = if cx.scheduling.is_leading() {
            RENEW_EVERY
        } else {
            RENEW_IDLE
        };
        let woken = timeout(every.to_std(), membership.changed.notified()).await;
        if woken.is_ok() {
            sleep(membership.turn(cx).min(RENEW_EVERY).to_std()).await;
            continue;
        }
        match store.keep_alive(lease.id).await {
            Ok(Some(_)) => {}
            Ok(None) => {
                Line::new("lease_lapsed").with("lease", lease.id).warn();
                // Its keys went with it, the leader's too if this VM leads.
                membership.lease.set(None);
                if cx.scheduling.is_leading() {
                    membership.remove_leader();
                }
                return;
            }
            Err(e) => Line::new("renewal_failed").with("reason", e).info(),
        }
    }
}

/// Tries to become the leader.
async fn stand(
    cx: &Context,
    store: &KvStore,
    membership: &Membership,
    lease: Lease,
) {
    let key = LEADER_KEY.to_owned();
    let compare = match membership.predecessor.get() {
        Some(revision) => Compare::ModRevision(key, revision),
        None => Compare::Absent(key),
    };
    let txn = Txn {
        compare: vec![compare],
        success: vec![Op::put_leased(LEADER_KEY, record(&membership.me), lease.id)],
        failure: Vec::new(),
    };
    match store.txn(txn).await {
        Ok(reply) if reply.succeeded => {
            membership.has_leader.set(true);
            membership.predecessor.set(None);
            membership.take_lead(cx, Fence(reply.revision));
        }
        Ok(reply) => {
            for kv in reply.reads.iter().flatten() {
                membership.set_leader(cx, kv);
            }
        }
        Err(e) => Line::new("election_failed").with("reason", e).info(),
    }
}

fn record(me: &VmRecord) -> Vec<u8> {
    serde_json::to_vec(me).expect("strings and numbers are JSON")
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
