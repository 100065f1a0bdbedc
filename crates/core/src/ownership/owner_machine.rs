use {
    super::{
        account_waits::AccountWaits,
        action::{AcquireOutcome, OwnerAction},
        engine_copy::CopyState,
        event::{AcquireRequest, OwnerEvent, Ownership, Poll, Release},
        owned_engine::OwnedEngine,
        pending_load::{PendingLoad, Waiter},
        settings::OwnerSettings,
    },
    crate::{
        clock::Millis,
        ids::{Fence, Holder, Incarnation, UpstreamId, VmId},
        placement::Instance,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The last known run of a gateway and when it was last heard from.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownGateway {
    pub(super) incarnation: Incarnation,
    pub(super) last_heard: Millis,
}

/// State machine of the engines that one controller owns: their copies, grants and pending loads.
#[derive(Clone, Debug)]
pub struct OwnerMachine {
    pub(super) settings: OwnerSettings,
    pub(super) lease_until: Millis,
    pub(super) engines: BTreeMap<UpstreamId, OwnedEngine>,
    pub(super) members: BTreeSet<VmId>,
    pub(super) known_gateways: BTreeMap<VmId, KnownGateway>,
    /// VMs whose gateway has restarted or left since grants were last revoked.
    pub(super) pending_revocations: BTreeSet<VmId>,
    pub(super) waits: AccountWaits,
    /// Loads that may start now.
    pub(super) budget: u32,
    /// Loads that were requested from the budget and not yet granted.
    pub(super) requested_budget: u32,
    pub(super) budget_requested_at: Millis,
}

impl OwnerMachine {
    /// Creates a machine that owns no engine.
    pub fn new(settings: OwnerSettings) -> Self {
        Self {
            settings,
            lease_until: Millis::ZERO,
            engines: BTreeMap::new(),
            members: BTreeSet::new(),
            known_gateways: BTreeMap::new(),
            pending_revocations: BTreeSet::new(),
            waits: AccountWaits::default(),
            budget: 0,
            requested_budget: 0,
            budget_requested_at: Millis::ZERO,
        }
    }

    /// Handles one event and returns the actions to perform.
    ///
    /// `now` must be read right before the call, because orders are checked against the lease with it.
    /// An order that is not sent immediately must be checked again with [`Self::can_send_order`].
    pub fn handle(
        &mut self,
        event: OwnerEvent,
        now: Millis,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        match event {
            OwnerEvent::LeaseExtended(until) => self.lease_until = until,
            OwnerEvent::OwnershipGained(ownership) => self.gain_ownership(ownership, now, &mut out),
            OwnerEvent::OwnershipLost(upstream) => self.lose_ownership(upstream, &mut out),
            OwnerEvent::Members(vms) => self.set_members(&vms),
            OwnerEvent::Polled(poll) => self.handle_poll(&poll, now),
            OwnerEvent::Acquire(ask) => self.handle_acquire(ask, now, &mut out),
            OwnerEvent::Released(release) => self.handle_release(&release, now),
            OwnerEvent::FenceRaised(upstream, fence, accepted) => {
                self.handle_fence_result(upstream, fence, accepted, &mut out);
            }
            OwnerEvent::LoadEnded(instance, result) => {
                self.handle_load_result(instance, result, now, &mut out);
            }
            OwnerEvent::UnloadEnded(instance, result) => {
                self.handle_unload_result(instance, result, now, &mut out);
            }
            OwnerEvent::Reported(report) => self.handle_report(&report, now),
            OwnerEvent::BudgetGranted(loads) => {
                self.budget += loads;
                self.requested_budget = self.requested_budget.saturating_sub(loads);
            }
            OwnerEvent::Tick => {}
        }
        self.expire_requests(now, &mut out);
        self.emit_orders(now, &mut out);
        out
    }

    /// Whether an order for this engine with this fencing token may still be sent.
    pub fn can_send_order(
        &self,
        upstream: UpstreamId,
        fence: Fence,
        now: Millis,
    ) -> bool {
        let owned = self.engines.get(&upstream);
        owned.is_some_and(|engine| engine.ownership.fence == fence) && self.are_orders_allowed(now)
    }

    /// The fencing token under which this controller owns the engine.
    pub fn fence(
        &self,
        upstream: UpstreamId,
    ) -> Option<Fence> {
        self.engines
            .get(&upstream)
            .map(|engine| engine.ownership.fence)
    }

    /// Instances that this gateway must release; included in every poll response.
    pub fn recalls(
        &self,
        holder: Holder,
    ) -> Vec<Instance> {
        self.engines
            .values()
            .flat_map(|engine| {
                engine
                    .copies
                    .iter()
                    .filter(|&(&key, copy)| {
                        engine.is_recalled(key, copy) && copy.grants.contains_key(&holder)
                    })
                    .map(|(&key, _)| engine.instance(key))
            })
            .collect()
    }

    /// Instances on an engine that gateways can acquire.
    pub fn resident(
        &self,
        upstream: UpstreamId,
    ) -> Vec<Instance> {
        let Some(engine) = self.engines.get(&upstream) else {
            return Vec::new();
        };
        engine
            .copies
            .iter()
            .filter(|(_, copy)| copy.state == CopyState::Resident)
            .map(|(&key, _)| engine.instance(key))
            .collect()
    }

    pub(super) fn are_orders_allowed(
        &self,
        now: Millis,
    ) -> bool {
        self.settings.can_order_past_lease || self.has_lease(now)
    }

    pub(super) fn has_lease(
        &self,
        now: Millis,
    ) -> bool {
        now + self.settings.lease_margin < self.lease_until
    }

    fn gain_ownership(
        &mut self,
        ownership: Ownership,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        match self.engines.get_mut(&ownership.upstream) {
            Some(engine) if engine.ownership.fence >= ownership.fence => return,
            // A renewed token: no other controller owned the engine in between, so its state is valid.
            Some(engine) => {
                engine.ownership = ownership;
                engine.is_fence_raised = false;
            }
            None => {
                let engine = OwnedEngine::new(ownership, &self.members, now);
                self.engines.insert(ownership.upstream, engine);
            }
        }
        if ownership.checks_fencing {
            out.push(OwnerAction::RaiseFence {
                upstream: ownership.upstream,
                fence: ownership.fence,
            });
        }
    }

    pub(super) fn lose_ownership(
        &mut self,
        upstream: UpstreamId,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(engine) = self.engines.remove(&upstream) else {
            return;
        };
        for load in engine.pending_loads.into_values() {
            reply_all(load.waiters, AcquireOutcome::NotOwner, out);
        }
    }

    fn set_members(
        &mut self,
        vms: &[VmId],
    ) {
        let members: BTreeSet<VmId> = vms.iter().copied().collect();
        for engine in self.engines.values_mut() {
            // A VM that was unknown when ownership was gained may hold grants from a former owner.
            engine
                .unreported_vms
                .extend(members.difference(&self.members));
        }
        self.pending_revocations
            .extend(self.members.difference(&members));
        self.members = members;
    }

    /// Records that a gateway is alive; `false` if it is not a member or its run was replaced.
    fn record_contact(
        &mut self,
        from: Holder,
        now: Millis,
    ) -> bool {
        if !self.members.contains(&from.vm) {
            return false;
        }
        let gateway = self.known_gateways.entry(from.vm).or_insert(KnownGateway {
            incarnation: from.incarnation,
            last_heard: now,
        });
        if from.incarnation < gateway.incarnation {
            return false;
        }
        gateway.last_heard = now;
        let restarted = from.incarnation > gateway.incarnation;
        gateway.incarnation = from.incarnation;
        if restarted {
            self.pending_revocations.insert(from.vm);
        }
        true
    }

    /// Revokes the grants of gateway processes that were replaced or are no longer members.
    ///
    /// Requires a valid lease: a former owner must not take a gateway's end for a release, since its
    /// successor may be keeping an instance because of that gateway's grant.
    pub(super) fn revoke_stale_grants(
        &mut self,
        now: Millis,
    ) {
        for vm in std::mem::take(&mut self.pending_revocations) {
            let is_member = self.members.contains(&vm);
            if !is_member {
                self.known_gateways.remove(&vm);
            }
            let newest = self
                .known_gateways
                .get(&vm)
                .map(|gateway| gateway.incarnation);
            let should_revoke = |holder: &Holder| {
                let replaced = newest.is_some_and(|newest| holder.incarnation < newest);
                holder.vm == vm && (replaced || !is_member)
            };
            for engine in self.engines.values_mut() {
                if !is_member {
                    engine.unreported_vms.remove(&vm);
                }
                engine.remove_grants(now, |_, holder, _| should_revoke(holder));
                // A grant to a stopped process would never be released.
                for load in engine.pending_loads.values_mut() {
                    load.waiters.retain(|waiter| !should_revoke(&waiter.from));
                }
            }
        }
    }

    fn handle_poll(
        &mut self,
        poll: &Poll,
        now: Millis,
    ) {
        if !self.record_contact(poll.from, now) {
            return;
        }
        for engine in self.engines.values_mut() {
            let upstream = engine.upstream();
            let has_seen_fence = poll
                .seen
                .iter()
                .any(|&(seen_of, fence)| seen_of == upstream && fence >= engine.ownership.fence);
            for instance in poll.held.iter().filter(|held| held.upstream == upstream) {
                engine.record_grant(poll.from, *instance, has_seen_fence, now);
            }
            if has_seen_fence {
                engine.unreported_vms.remove(&poll.from.vm);
            }
        }
    }

    fn handle_acquire(
        &mut self,
        ask: AcquireRequest,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        let known = self.record_contact(ask.from, now);
        let settings = self.settings;
        let Some(engine) = self.engines.get_mut(&ask.upstream) else {
            out.push(reply(ask.from, ask.ask, AcquireOutcome::NotOwner));
            return;
        };
        if !known {
            out.push(reply(ask.from, ask.ask, AcquireOutcome::Loading));
            return;
        }
        if engine.is_new_demand(&ask) {
            engine.record_demand(ask.adapter, 1.0, &settings, now);
        }
        let owner = engine.ownership.fence;
        if let Some(key) = engine.find(ask.adapter, CopyState::Resident) {
            let instance = engine.instance(key);
            let copy = engine.copies.get_mut(&key).expect("just found");
            let granted = copy.grants.entry(ask.from).or_default();
            *granted = ask.ask.max(*granted);
            copy.account = Some(ask.account);
            copy.last_used = now;
            let outcome = AcquireOutcome::Granted { instance, owner };
            out.push(reply(ask.from, ask.ask, outcome));
            self.waits.record(ask.account, Millis::ZERO, now);
            return;
        }
        if let Some(left) = engine.backoff_left(ask.adapter, now) {
            out.push(reply(ask.from, ask.ask, AcquireOutcome::LoadFailed(left)));
            return;
        }
        if engine.blocked_keys.contains(&engine.key(ask.adapter)) {
            let later = AcquireOutcome::Full(settings.budget_retry_delay);
            out.push(reply(ask.from, ask.ask, later));
            return;
        }
        let load = engine
            .pending_loads
            .entry(ask.adapter)
            .or_insert_with(|| PendingLoad::new(ask.account, now));
        load.requesters.insert(ask.from.vm);
        load.add_waiter(Waiter {
            from: ask.from,
            ask: ask.ask,
            account: ask.account,
            since: now,
            until: now + ask.wait,
        });
    }

    fn handle_release(
        &mut self,
        release: &Release,
        now: Millis,
    ) {
        self.record_contact(release.from, now);
        for engine in self.engines.values_mut() {
            // A release with another token is meant for another owner.
            if engine.ownership.fence != release.fence {
                continue;
            }
            let upstream = engine.upstream();
            engine.remove_grants(now, |key, holder, ask| {
                let named = release.instances.iter().any(|instance| {
                    instance.upstream == upstream && (instance.adapter, instance.fence) == key
                });
                named && *holder == release.from && ask <= release.ask
            });
        }
    }
}

pub(super) fn reply(
    to: Holder,
    ask: u64,
    outcome: AcquireOutcome,
) -> OwnerAction {
    OwnerAction::Reply { to, ask, outcome }
}

pub(super) fn reply_all(
    waiters: Vec<Waiter>,
    outcome: AcquireOutcome,
    out: &mut Vec<OwnerAction>,
) {
    out.extend(
        waiters
            .into_iter()
            .map(|waiter| reply(waiter.from, waiter.ask, outcome)),
    );
}
