use {
    super::{EngineTarget, OwnerDesk},
    crate::{
        fleet::{MemberRecord, Owner, OwnerRecord},
        session::LeaseSession,
        shared::SharedParts,
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

/// How long another controller has to be the better owner before an engine is handed over.
const HAND_OVER_AFTER: Millis = Millis(2_000);

/// Claims and hand-overs begun in one step; the rest follows in the next.
const MOVES_PER_STEP: usize = 16;

/// Takes and gives up engines, one compare-and-swap of the owner's record each.
///
/// Every controller computes the same owner from the members it knows. Where two differ for a moment
/// the store decides: a record is created only where there is none.
#[derive(Debug)]
pub struct Assignment {
    shared: SharedParts,
    session: Rc<LeaseSession>,
    desk: Rc<OwnerDesk>,
    held: RefCell<BTreeMap<UpstreamId, (LeaseId, Fence)>>,
    better: RefCell<BTreeMap<UpstreamId, Millis>>,
}

/// What is to be done about one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Move {
    Claim(Option<Fence>),
    HandOver(Fence),
}

impl Assignment {
    /// An assignment that holds nothing yet.
    pub fn new(
        shared: SharedParts,
        session: Rc<LeaseSession>,
        desk: Rc<OwnerDesk>,
    ) -> Self {
        Self {
            shared,
            session,
            desk,
            held: RefCell::default(),
            better: RefCell::default(),
        }
    }

    /// Drops what is no longer held, then takes and hands over engines.
    ///
    /// Orders may be given until `until`, by this process's own clock.
    pub async fn step(
        &self,
        until: Millis,
    ) {
        self.drop_lost();
        self.desk.handle(OwnerEvent::LeaseExtended(until));
        self.desk.handle(OwnerEvent::Members(self.witnesses()));
        let Some(lease) = self.session.sure() else {
            return;
        };
        for (upstream, fence) in self.altered() {
            self.hand_over(upstream, fence).await;
        }
        for upstream in self.desk.take_renewals() {
            self.renew(upstream, lease).await;
        }
        let moves: Vec<_> = self.moves().into_iter().take(MOVES_PER_STEP).collect();
        for (upstream, target, step) in moves {
            match step {
                Move::Claim(of_predecessor) => {
                    self.claim(upstream, target, lease, of_predecessor).await;
                }
                Move::HandOver(fence) => self.hand_over(upstream, fence).await,
            }
        }
    }

    /// Hands over all engines, as part of a planned stop.
    pub async fn hand_over_all(&self) {
        let held: Vec<_> = self.held.borrow().clone().into_iter().collect();
        for (upstream, (_, fence)) in held {
            self.hand_over(upstream, fence).await;
        }
    }

    /// Gives up engines whose record is gone, is another's, or hung on a lease that has ended.
    fn drop_lost(&self) {
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
            self.desk.lose(upstream);
        }
    }

    /// Owned engines that operators have deleted or whose slots or fencing have changed; the latter
    /// are taken anew under what holds now.
    fn altered(&self) -> Vec<(UpstreamId, Fence)> {
        let Some(config) = self.shared.config.fleet() else {
            return Vec::new();
        };
        let held = self.held.borrow();
        held.iter()
            .filter(|&(&upstream, _)| {
                let wanted = config.upstreams.get(upstream).and_then(engine_target);
                wanted != self.desk.target(upstream)
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

    /// The VMs whose gateways may hold grants: all in the epoch, and all that are registered.
    fn witnesses(&self) -> Vec<VmId> {
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

    fn moves(&self) -> Vec<(UpstreamId, EngineTarget, Move)> {
        let Some(config) = self.shared.config.fleet() else {
            return Vec::new();
        };
        let mirror = self.shared.fleet.borrow();
        let live = candidates(&config, mirror.members.values());
        let now = self.shared.clock.now();
        let mut better = self.better.borrow_mut();
        let mut moves = Vec::new();
        for upstream in config.upstreams.iter() {
            let Some(target) = engine_target(upstream) else {
                continue;
            };
            let best = assign(upstream.id, upstream.data_centre, &live);
            let is_best = best == Some(self.shared.me.vm);
            let owner = mirror.owners.get(&upstream.id);
            let step = match owner {
                None if is_best => Some(Move::Claim(None)),
                Some(owner) if is_best && self.is_predecessors(owner) => {
                    Some(Move::Claim(Some(owner.fence)))
                }
                Some(owner) if !is_best && best.is_some() && self.is_mine(owner, owner.fence) => {
                    let since = *better.entry(upstream.id).or_insert(now);
                    (now.since(since) >= HAND_OVER_AFTER).then_some(Move::HandOver(owner.fence))
                }
                _ => {
                    better.remove(&upstream.id);
                    None
                }
            };
            moves.extend(step.map(|step| (upstream.id, target, step)));
        }
        moves
    }

    /// Whether the owner is this VM's controller in an earlier run, which has ended: this one runs.
    fn is_predecessors(
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
        of_predecessor: Option<Fence>,
    ) {
        let key = store_keys::owner(upstream);
        let compare = match of_predecessor {
            None => Compare::Absent(key),
            Some(fence) => Compare::ModRevision(key, fence.0),
        };
        if let Some(fence) = self.write(upstream, lease, compare, 0).await {
            self.take(upstream, lease, fence, 0, target);
        }
    }

    async fn renew(
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
            if let Some(fence) = self.write(upstream, lease, compare, renewal).await {
                self.take(upstream, lease, fence, renewal, target);
            }
        }
    }

    async fn hand_over(
        &self,
        upstream: UpstreamId,
        fence: Fence,
    ) {
        // Given up here before it is given up in the store: no order goes out in between.
        self.held.borrow_mut().remove(&upstream);
        self.better.borrow_mut().remove(&upstream);
        self.desk.lose(upstream);
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

    /// Writes this controller's record and returns the fencing token that came of it.
    async fn write(
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
                // Known now, so that the next step doesn't try again before the watch has told.
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

    /// Settles a write whose reply was lost.
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

    fn take(
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
        self.desk.gain(upstream, fence, target);
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
