use {
    super::{EngineOwner, EngineTarget},
    crate::{
        fleet::{MemberRecord, Owner, OwnerRecord},
        session::LeaseSession,
        shared::SharedState,
        store_keys,
    },
    jasmine_conf::fleet::{Fleet, Upstream, UpstreamKind},
    jasmine_core::{
        clock::Millis,
        ids::{Fence, Role, UpstreamId, VmId},
        ownership::{Candidate, OwnerEvent, assign},
    },
    jasmine_store::store::{Compare, LeaseId, Op, Range, StoreError, Txn, TxnReply, WatchEvent},
    jasmine_telemetry::log::Line,
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
    },
};

/// How long another controller must be preferred before an engine is handed over to it.
const HAND_OVER_DELAY: Millis = Millis(2_000);

/// Claims and hand-overs started in one step; the remaining ones wait for the next step.
const MAX_CHANGES_PER_STEP: usize = 16;

/// Claims and releases engines by compare-and-swap on their owner records.
///
/// Every controller computes the same owner from the same members. If two controllers disagree for a
/// moment, the store decides: an owner record is only created if none exists.
#[derive(Debug)]
pub struct Assignment {
    shared: SharedState,
    session: Rc<LeaseSession>,
    engine_owner: Rc<EngineOwner>,
    held: RefCell<BTreeMap<UpstreamId, (LeaseId, Fence)>>,
    better_owner_since: RefCell<BTreeMap<UpstreamId, Millis>>,
}

/// A change of ownership to be made for one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnershipChange {
    Claim(Option<Fence>),
    HandOver(Fence),
}

impl Assignment {
    /// Creates an assignment that owns no engines.
    pub fn new(
        shared: SharedState,
        session: Rc<LeaseSession>,
        engine_owner: Rc<EngineOwner>,
    ) -> Self {
        Self {
            shared,
            session,
            engine_owner,
            held: RefCell::default(),
            better_owner_since: RefCell::default(),
        }
    }

    /// Drops engines that are no longer owned, then claims and hands over engines.
    ///
    /// Orders may be sent until `until`, measured on this process's clock.
    pub async fn step(
        &self,
        until: Millis,
    ) {
        self.drop_lost_engines();
        self.engine_owner.handle(OwnerEvent::LeaseExtended(until));
        self.engine_owner
            .handle(OwnerEvent::Members(self.possible_grant_holders()));
        let Some(lease) = self.session.valid_lease() else {
            return;
        };
        for (upstream, fence) in self.reconfigured_engines() {
            self.hand_over(upstream, fence).await;
        }
        for upstream in self.engine_owner.take_renewals() {
            self.renew_fence(upstream, lease).await;
        }
        let changes: Vec<_> = self
            .pending_changes()
            .into_iter()
            .take(MAX_CHANGES_PER_STEP)
            .collect();
        for (upstream, target, change) in changes {
            match change {
                OwnershipChange::Claim(predecessor_fence) => {
                    self.claim(upstream, target, lease, predecessor_fence).await;
                }
                OwnershipChange::HandOver(fence) => self.hand_over(upstream, fence).await,
            }
        }
    }

    /// Hands over all engines during a planned stop.
    pub async fn hand_over_all(&self) {
        let held: Vec<_> = self.held.borrow().clone().into_iter().collect();
        for (upstream, (_, fence)) in held {
            self.hand_over(upstream, fence).await;
        }
    }

    /// Drops engines whose record was deleted, belongs to another owner or used an ended lease.
    fn drop_lost_engines(&self) {
        let lease = self.session.id();
        let lost: Vec<_> = {
            let fleet = self.shared.fleet.borrow();
            let held = self.held.borrow();
            held.iter()
                .filter(|(upstream, (under, fence))| {
                    let owner = fleet.owners.get(upstream);
                    Some(*under) != lease || owner.is_none_or(|owner| !self.is_mine(owner, *fence))
                })
                .map(|(&upstream, _)| upstream)
                .collect()
        };
        for upstream in lost {
            self.held.borrow_mut().remove(&upstream);
            self.engine_owner.remove_engine(upstream);
        }
    }

    /// Returns owned engines that were deleted from the configuration or whose settings changed.
    ///
    /// A changed engine is claimed again with its new settings.
    fn reconfigured_engines(&self) -> Vec<(UpstreamId, Fence)> {
        let Some(config) = self.shared.config.fleet() else {
            return Vec::new();
        };
        let held = self.held.borrow();
        held.iter()
            .filter(|&(&upstream, _)| {
                let wanted = config.upstreams.get(upstream).and_then(engine_target);
                wanted != self.engine_owner.target(upstream)
            })
            .map(|(&upstream, &(_, fence))| (upstream, fence))
            .collect()
    }

    fn is_mine(
        &self,
        owner: &Owner,
        fence: Fence,
    ) -> bool {
        owner.record.vm == self.shared.me.vm
            && owner.record.incarnation == self.shared.me.incarnation
            && owner.fence >= fence
    }

    /// Returns the VMs whose gateways may hold grants: those in the epoch and those registered.
    fn possible_grant_holders(&self) -> Vec<VmId> {
        let fleet = self.shared.fleet.borrow();
        let in_epoch = fleet
            .epoch
            .iter()
            .flat_map(|epoch| &epoch.value.members)
            .filter(|holder| holder.role == Role::Gateway)
            .map(|holder| holder.vm);
        let registered = fleet
            .members
            .values()
            .filter(|member| member.gateway.is_some())
            .map(|member| member.vm);
        let vms: BTreeSet<_> = in_epoch.chain(registered).collect();
        vms.into_iter().collect()
    }

    fn pending_changes(&self) -> Vec<(UpstreamId, EngineTarget, OwnershipChange)> {
        let Some(config) = self.shared.config.fleet() else {
            return Vec::new();
        };
        let mirror = self.shared.fleet.borrow();
        let live = candidates(&config, mirror.members.values());
        let now = self.shared.clock.now();
        let mut better_owner_since = self.better_owner_since.borrow_mut();
        let mut changes = Vec::new();
        for upstream in config.upstreams.iter() {
            let Some(target) = engine_target(upstream) else {
                continue;
            };
            let best = assign(upstream.id, upstream.data_centre, &live);
            let is_best = best == Some(self.shared.me.vm);
            let owner = mirror.owners.get(&upstream.id);
            let change = match owner {
                None if is_best => Some(OwnershipChange::Claim(None)),
                Some(owner) if is_best && self.is_previous_run(owner) => {
                    Some(OwnershipChange::Claim(Some(owner.fence)))
                }
                Some(owner) if !is_best && best.is_some() && self.is_mine(owner, owner.fence) => {
                    let since = *better_owner_since.entry(upstream.id).or_insert(now);
                    (now.since(since) >= HAND_OVER_DELAY)
                        .then_some(OwnershipChange::HandOver(owner.fence))
                }
                _ => {
                    better_owner_since.remove(&upstream.id);
                    None
                }
            };
            changes.extend(change.map(|change| (upstream.id, target, change)));
        }
        changes
    }

    /// Whether the owner is an earlier run of this VM's controller, which must have ended.
    fn is_previous_run(
        &self,
        owner: &Owner,
    ) -> bool {
        owner.record.vm == self.shared.me.vm
            && owner.record.incarnation < self.shared.me.incarnation
    }

    async fn claim(
        &self,
        upstream: UpstreamId,
        target: EngineTarget,
        lease: LeaseId,
        predecessor_fence: Option<Fence>,
    ) {
        let key = store_keys::owner(upstream);
        let compare = match predecessor_fence {
            None => Compare::Absent(key),
            Some(fence) => Compare::ModRevision(key, fence.0),
        };
        if let Some(fence) = self.write_record(upstream, lease, compare, 0).await {
            self.add_owned(upstream, lease, fence, 0, target);
        }
    }

    async fn renew_fence(
        &self,
        upstream: UpstreamId,
        lease: LeaseId,
    ) {
        let owner = self.shared.fleet.borrow().owners.get(&upstream).copied();
        let config = self.shared.config.fleet();
        let target = config
            .as_ref()
            .and_then(|config| config.upstreams.get(upstream))
            .and_then(engine_target);
        let (Some(owner), Some(target)) = (owner, target) else {
            return;
        };
        if self.is_mine(&owner, owner.fence) {
            let renewal = owner.record.renewal + 1;
            let compare = Compare::ModRevision(store_keys::owner(upstream), owner.fence.0);
            if let Some(fence) = self.write_record(upstream, lease, compare, renewal).await {
                self.add_owned(upstream, lease, fence, renewal, target);
            }
        }
    }

    async fn hand_over(
        &self,
        upstream: UpstreamId,
        fence: Fence,
    ) {
        // Drop it locally before the store record is deleted, so that no order is sent in between.
        self.held.borrow_mut().remove(&upstream);
        self.better_owner_since.borrow_mut().remove(&upstream);
        self.engine_owner.remove_engine(upstream);
        let key = store_keys::owner(upstream);
        let txn = Txn {
            compare: vec![Compare::ModRevision(key.clone(), fence.0)],
            success: vec![Op::Delete(Range::key(key))],
            failure: Vec::new(),
        };
        match self.shared.store.txn(txn).await {
            Ok(_) => {
                self.shared.fleet.borrow_mut().owners.remove(&upstream);
            }
            Err(e) => {
                Line::new("hand_over_unsettled")
                    .with("upstream", upstream)
                    .with("error", e)
                    .warn();
            }
        }
    }

    /// Writes this controller's owner record and returns the resulting fencing token.
    async fn write_record(
        &self,
        upstream: UpstreamId,
        lease: LeaseId,
        compare: Compare,
        renewal: u64,
    ) -> Option<Fence> {
        let key = store_keys::owner(upstream);
        let record = self.record(renewal);
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let txn = Txn {
            compare: vec![compare],
            success: vec![Op::put_leased(&key, value, lease)],
            failure: vec![Op::Get(Range::key(&key))],
        };
        match self.shared.store.txn(txn).await {
            Ok(TxnReply {
                succeeded: true,
                revision,
                ..
            }) => Some(Fence(revision)),
            Ok(reply) => {
                let found = reply.reads.into_iter().flatten().next();
                // Apply it now so that the next step doesn't retry before the watch delivers it.
                if let Some(kv) = found {
                    let event = WatchEvent::Put(kv);
                    self.shared.fleet.borrow_mut().apply(&event);
                }
                None
            }
            Err(StoreError::OutcomeUnknown(_)) => self.read_back(upstream, lease, record).await,
            Err(_) => None,
        }
    }

    /// Reads the record back to find out whether a write with a lost reply took effect.
    async fn read_back(
        &self,
        upstream: UpstreamId,
        lease: LeaseId,
        record: OwnerRecord,
    ) -> Option<Fence> {
        let key = store_keys::owner(upstream);
        let reply = self.shared.store.range(Range::key(key)).await.ok()?;
        let kv = reply.kvs.first()?;
        let found: OwnerRecord = serde_json::from_slice(&kv.value).ok()?;
        (found == record && kv.lease == lease.0).then_some(Fence(kv.mod_revision))
    }

    fn add_owned(
        &self,
        upstream: UpstreamId,
        lease: LeaseId,
        fence: Fence,
        renewal: u64,
        target: EngineTarget,
    ) {
        let owner = Owner {
            record: self.record(renewal),
            fence,
        };
        {
            let mut fleet = self.shared.fleet.borrow_mut();
            fleet.owners.insert(upstream, owner);
            fleet.changed.raise();
        }
        self.held.borrow_mut().insert(upstream, (lease, fence));
        self.engine_owner.add_engine(upstream, fence, target);
    }

    fn record(
        &self,
        renewal: u64,
    ) -> OwnerRecord {
        OwnerRecord {
            vm: self.shared.me.vm,
            incarnation: self.shared.me.incarnation,
            renewal,
        }
    }
}

fn candidates<'a>(
    config: &Fleet,
    members: impl Iterator<Item = &'a MemberRecord>,
) -> Vec<Candidate> {
    members
        .filter(|member| !member.leaving)
        .filter_map(|member| {
            let data_centre = config
                .data_centres
                .iter()
                .find(|data_centre| data_centre.name == member.data_centre)?
                .id;
            Some(Candidate {
                vm: member.vm,
                data_centre,
            })
        })
        .collect()
}

fn engine_target(upstream: &Upstream) -> Option<EngineTarget> {
    match upstream.kind {
        UpstreamKind::Engine {
            slots,
            checks_fencing,
            ..
        } => Some(EngineTarget {
            address: upstream.address,
            slots,
            checks_fencing,
        }),
        UpstreamKind::Server { .. } => None,
    }
}
