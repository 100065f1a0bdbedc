use {
    super::{
        account_waits::AccountWaits,
        action::{AcquireOutcome, OwnerAction},
        engine_copy::CopyState,
        event::{Ask, OwnerEvent, Ownership, Poll, Release},
        owned_engine::OwnedEngine,
        settings::OwnerSettings,
        wanted::{Waiter, Wanted},
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
pub(super) struct Witness {
    pub(super) incarnation: Incarnation,
    pub(super) heard: Millis,
}

/// State machine of the engines that one controller owns: their copies, grants and pending loads.
#[derive(Clone, Debug)]
pub struct OwnerMachine {
    pub(super) settings: OwnerSettings,
    pub(super) lease_until: Millis,
    pub(super) engines: BTreeMap<UpstreamId, OwnedEngine>,
    pub(super) members: BTreeSet<VmId>,
    pub(super) witnesses: BTreeMap<VmId, Witness>,
    /// VMs whose gateway has restarted or left since grants were last revoked.
    pub(super) replaced: BTreeSet<VmId>,
    pub(super) waits: AccountWaits,
    /// Loads that may start now.
    pub(super) budget: u32,
    /// Loads that were requested from the budget and not yet granted.
    pub(super) budget_asked: u32,
    pub(super) budget_asked_at: Millis,
}

impl OwnerMachine {
    /// Creates a machine that owns no engine.
    pub fn new(settings: OwnerSettings) -> Self {
        Self {
            settings,
            lease_until: Millis::ZERO,
            engines: BTreeMap::new(),
            members: BTreeSet::new(),
            witnesses: BTreeMap::new(),
            replaced: BTreeSet::new(),
            waits: AccountWaits::default(),
            budget: 0,
            budget_asked: 0,
            budget_asked_at: Millis::ZERO,
        }
    }

    /// Handles one event and returns the actions to perform.
    ///
    /// `now` must be read right before the call, because orders are checked against the lease with it.
    /// An order that is not sent immediately must be checked again with [`Self::may_order`].
    pub fn handle(
        &mut self,
        event: OwnerEvent,
        now: Millis,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        match event {
            OwnerEvent::LeaseExtended(until) => self.lease_until = until,
            OwnerEvent::Gained(own) => self.gain(own, now, &mut out),
            OwnerEvent::Lost(upstream) => self.lose(upstream, &mut out),
            OwnerEvent::Members(vms) => self.set_members(&vms),
            OwnerEvent::Polled(poll) => self.note_poll(&poll, now),
            OwnerEvent::Acquire(ask) => self.acquire(ask, now, &mut out),
            OwnerEvent::Released(release) => self.release(&release, now),
            OwnerEvent::FenceRaised(upstream, fence, raised) => {
                self.note_fence(upstream, fence, raised, &mut out);
            }
            OwnerEvent::LoadEnded(instance, result) => {
                self.end_load(instance, result, now, &mut out);
            }
            OwnerEvent::UnloadEnded(instance, result) => {
                self.end_unload(instance, result, now, &mut out);
            }
            OwnerEvent::Reported(report) => self.note_report(&report, now),
            OwnerEvent::BudgetGranted(loads) => {
                self.budget += loads;
                self.budget_asked = self.budget_asked.saturating_sub(loads);
            }
            OwnerEvent::Tick => {}
        }
        self.expire(now, &mut out);
        self.order(now, &mut out);
        out
    }

    /// Whether an order for this engine with this fencing token may still be sent.
    pub fn may_order(
        &self,
        upstream: UpstreamId,
        fence: Fence,
        now: Millis,
    ) -> bool {
        let owned = self.engines.get(&upstream);
        owned.is_some_and(|engine| engine.own.fence == fence) && self.orders_allowed(now)
    }

    /// The fencing token under which this controller owns the engine.
    pub fn fence(
        &self,
        upstream: UpstreamId,
    ) -> Option<Fence> {
        self.engines.get(&upstream).map(|engine| engine.own.fence)
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

    pub(super) fn orders_allowed(
        &self,
        now: Millis,
    ) -> bool {
        self.settings.orders_past_lease || self.has_lease(now)
    }

    pub(super) fn has_lease(
        &self,
        now: Millis,
    ) -> bool {
        now + self.settings.lease_margin < self.lease_until
    }

    fn gain(
        &mut self,
        own: Ownership,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        match self.engines.get_mut(&own.upstream) {
            Some(engine) if engine.own.fence >= own.fence => return,
            // A renewed token: no other controller owned the engine in between, so its state is valid.
            Some(engine) => {
                engine.own = own;
                engine.raised = false;
            }
            None => {
                let engine = OwnedEngine::new(own, &self.members, now);
                self.engines.insert(own.upstream, engine);
            }
        }
        if own.checks_fencing {
            out.push(OwnerAction::RaiseFence {
                upstream: own.upstream,
                fence: own.fence,
            });
        }
    }

    pub(super) fn lose(
        &mut self,
        upstream: UpstreamId,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(engine) = self.engines.remove(&upstream) else {
            return;
        };
        for wanted in engine.wanted.into_values() {
            reply_all(wanted.waiters, AcquireOutcome::NotOwner, out);
        }
    }

    fn set_members(
        &mut self,
        vms: &[VmId],
    ) {
        let members: BTreeSet<VmId> = vms.iter().copied().collect();
        for engine in self.engines.values_mut() {
            // A VM that was unknown when ownership was gained may hold grants from a former owner.
            engine.unheard.extend(members.difference(&self.members));
        }
        self.replaced.extend(self.members.difference(&members));
        self.members = members;
    }

    /// Records that a gateway is alive; `false` if it is not a member or its run was replaced.
    fn hear(
        &mut self,
        from: Holder,
        now: Millis,
    ) -> bool {
        if !self.members.contains(&from.vm) {
            return false;
        }
        let witness = self.witnesses.entry(from.vm).or_insert(Witness {
            incarnation: from.incarnation,
            heard: now,
        });
        if from.incarnation < witness.incarnation {
            return false;
        }
        witness.heard = now;
        let restarted = from.incarnation > witness.incarnation;
        witness.incarnation = from.incarnation;
        if restarted {
            self.replaced.insert(from.vm);
        }
        true
    }

    /// Revokes the grants of gateway processes that were replaced or are no longer members.
    ///
    /// Requires a valid lease: a former owner must not take a gateway's end for a release, since its
    /// successor may be keeping an instance because of that gateway's grant.
    pub(super) fn void_replaced(
        &mut self,
        now: Millis,
    ) {
        for vm in std::mem::take(&mut self.replaced) {
            let is_member = self.members.contains(&vm);
            if !is_member {
                self.witnesses.remove(&vm);
            }
            let newest = self.witnesses.get(&vm).map(|witness| witness.incarnation);
            let is_over = |holder: &Holder| {
                let replaced = newest.is_some_and(|newest| holder.incarnation < newest);
                holder.vm == vm && (replaced || !is_member)
            };
            for engine in self.engines.values_mut() {
                if !is_member {
                    engine.unheard.remove(&vm);
                }
                engine.drop_grants(now, |_, holder, _| is_over(holder));
                // A grant to a stopped process would never be released.
                for wanted in engine.wanted.values_mut() {
                    wanted.waiters.retain(|waiter| !is_over(&waiter.from));
                }
            }
        }
    }

    fn note_poll(
        &mut self,
        poll: &Poll,
        now: Millis,
    ) {
        if !self.hear(poll.from, now) {
            return;
        }
        for engine in self.engines.values_mut() {
            let upstream = engine.upstream();
            let seen = poll
                .seen
                .iter()
                .any(|&(seen_of, fence)| seen_of == upstream && fence >= engine.own.fence);
            for instance in poll.held.iter().filter(|held| held.upstream == upstream) {
                engine.note_held(poll.from, *instance, seen, now);
            }
            if seen {
                engine.unheard.remove(&poll.from.vm);
            }
        }
    }

    fn acquire(
        &mut self,
        ask: Ask,
        now: Millis,
        out: &mut Vec<OwnerAction>,
    ) {
        let known = self.hear(ask.from, now);
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
            engine.note_demand(ask.adapter, 1.0, &settings, now);
        }
        let owner = engine.own.fence;
        if let Some(key) = engine.find(ask.adapter, CopyState::Resident) {
            let instance = engine.instance(key);
            let copy = engine.copies.get_mut(&key).expect("just found");
            let granted = copy.grants.entry(ask.from).or_default();
            *granted = ask.ask.max(*granted);
            copy.account = Some(ask.account);
            copy.used = now;
            let outcome = AcquireOutcome::Granted { instance, owner };
            out.push(reply(ask.from, ask.ask, outcome));
            self.waits.note(ask.account, Millis::ZERO, now);
            return;
        }
        if let Some(left) = engine.backoff_left(ask.adapter, now) {
            out.push(reply(ask.from, ask.ask, AcquireOutcome::LoadFailed(left)));
            return;
        }
        if engine.burnt.contains(&engine.key(ask.adapter)) {
            let later = AcquireOutcome::Full(settings.budget_retry);
            out.push(reply(ask.from, ask.ask, later));
            return;
        }
        let wanted = engine
            .wanted
            .entry(ask.adapter)
            .or_insert_with(|| Wanted::new(ask.account, now));
        wanted.askers.insert(ask.from.vm);
        wanted.join(Waiter {
            from: ask.from,
            ask: ask.ask,
            account: ask.account,
            since: now,
            until: now + ask.wait,
        });
    }

    fn release(
        &mut self,
        release: &Release,
        now: Millis,
    ) {
        self.hear(release.from, now);
        for engine in self.engines.values_mut() {
            // A release with another token is meant for another owner.
            if engine.own.fence != release.fence {
                continue;
            }
            let upstream = engine.upstream();
            engine.drop_grants(now, |key, holder, ask| {
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
