//! Taking in what controllers tell of configuration, fleet and engines.

use {
    super::{Effect, Member, State},
    jasmine_conf::{
        fleet::{Fleet, UpstreamKind, UpstreamState},
        tree::{EditsBody, Tree, TreeBody},
    },
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, Epoch, Revision, UpstreamId, VmId},
        ownership::AcquireOutcome,
        placement::Instance,
        queue::AccountShare,
        rights::{Limit, Right},
        routing::{EngineView, UpstreamSpec, UpstreamSpecKind},
    },
    jasmine_telemetry::log::Line,
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
};

/// A controller's answer about the configuration.
#[derive(Clone, Debug)]
pub struct ConfigAnswer {
    /// Which VM's controller answered.
    pub vm: VmId,
    /// The edits or the tree; empty when there is nothing newer.
    pub body: Vec<u8>,
    /// Whether the body is the whole tree.
    pub full: bool,
    /// Time since the store confirmed what that controller has.
    pub fresh: Millis,
}

/// A controller's answer about the fleet.
#[derive(Clone, Debug)]
pub struct FleetAnswer {
    /// The VMs.
    pub members: Vec<Member>,
    /// Owners of engines.
    pub owners: HashMap<UpstreamId, VmId>,
    /// The epoch of rights.
    pub epoch: Epoch,
    /// The newest epoch, also where this gateway is no member of it.
    pub newest: Epoch,
    /// Whether holdings are still being gathered for it.
    pub closing: bool,
    /// What it adds to this gateway.
    pub grants: Vec<Right>,
}

impl State {
    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.fleet.revision
    }

    /// Takes in a controller's answer about the configuration.
    ///
    /// Only what is newer is taken, so that nothing reverts whoever answers.
    pub fn take_config(
        &mut self,
        answer: &ConfigAnswer,
    ) {
        let before = self.revision();
        if !answer.body.is_empty() && !self.apply(answer) {
            // Not understood, so not confirmed either; the next question asks for all.
            Line::new("config_not_understood")
                .with("vm", answer.vm)
                .warn();
            return;
        }
        let now = self.clock.now();
        self.freshness.heard(answer.vm, Some(answer.fresh), now);
        if self.revision() > before {
            self.config_changed();
        }
        self.tick();
    }

    fn apply(
        &mut self,
        answer: &ConfigAnswer,
    ) -> bool {
        if answer.full {
            let Ok(body) = serde_json::from_slice::<TreeBody>(&answer.body) else {
                return false;
            };
            if body.revision > self.revision() {
                let tree = Tree::from(body);
                self.fleet = tree.resolve();
                self.tree = Some(tree);
            }
            return true;
        }
        let Ok(body) = serde_json::from_slice::<EditsBody>(&answer.body) else {
            return false;
        };
        let Some(tree) = &mut self.tree else {
            return false;
        };
        for accepted in &body.edits {
            if accepted.revision <= tree.revision() {
                continue;
            }
            match tree.apply(accepted) {
                Ok(touched) => tree.refresh(&mut self.fleet, &touched),
                Err(_) => return false,
            }
        }
        true
    }

    fn config_changed(&mut self) {
        let now = self.clock.now();
        self.set_upstreams();
        self.set_accounts(now);
        self.end_withdrawn();
        self.remove_accounts(now);
        self.published.send_replace(Arc::new(self.fleet.clone()));
        Line::new("config_in_force")
            .with("revision", self.fleet.revision)
            .info();
    }

    fn set_upstreams(&mut self) {
        let name = &self.settings.data_centre;
        let own = self.fleet.data_centres.iter().find(|dc| dc.name == *name);
        let own = own.map(|dc| dc.id).unwrap_or_default();
        if self.own_data_centre != own && self.router.held().is_empty() {
            self.own_data_centre = own;
            self.router = Self::router_at(own);
        }
        let specs: Vec<UpstreamSpec> = specs(&self.fleet);
        self.router.set_upstreams(&specs);
    }

    fn set_accounts(
        &mut self,
        now: Millis,
    ) {
        if self.accounts.is_empty() && self.fleet.accounts.iter().next().is_some() {
            self.settling.note_first_accounts(now);
        }
        for account in self.fleet.accounts.iter() {
            if self.accounts.insert(account.id) {
                self.settling.note_account(account.id, now);
            }
            let limit = Limit {
                rate: account.rate,
                burst: account.burst,
            };
            self.ledger.set_limit(account.id, limit, now);
            let share = AccountShare {
                weight: account.weight,
                max_queued: account.max_queued as usize,
            };
            self.queue.set_share(account.id, share);
        }
    }

    /// Forgets accounts that have been deleted; their numbers are never used again.
    ///
    /// Without this what is held of them would be kept and reported in each epoch for as long as this runs.
    fn remove_accounts(
        &mut self,
        now: Millis,
    ) {
        let there: BTreeSet<AccountId> = self.fleet.accounts.iter().map(|one| one.id).collect();
        let deleted: Vec<AccountId> = self.accounts.difference(&there).copied().collect();
        for account in deleted {
            self.accounts.remove(&account);
            let asking = self.asking.remove(&account).unwrap_or_default();
            let queued = self.queue.remove(account, now);
            let queued = queued.into_iter().map(|waiting| waiting.request);
            for request in asking.into_iter().chain(queued) {
                self.refuse(request, Refusal::new(ErrorKind::KeyUnknown));
            }
            self.ledger.remove(account);
            self.settling.note_issued(account);
        }
    }

    /// Ends what withdrawn keys have open.
    fn end_withdrawn(&mut self) {
        for running in self.running.values_mut() {
            let key = self.fleet.key(running.admission.key);
            if key.is_none_or(|key| key.withdrawn) {
                running.withdraw();
            }
        }
    }

    /// Takes in a controller's answer about the fleet; what has to be reported of rights, if anything.
    pub fn take_fleet(
        &mut self,
        answer: FleetAnswer,
    ) -> Option<(Epoch, Vec<Right>)> {
        let now = self.clock.now();
        self.members.set(answer.members, answer.owners);
        let newer_run = self
            .members
            .gateway_run(self.me.vm)
            .is_some_and(|run| run > self.me.incarnation);
        // The others go on without what this run holds, and share it out among themselves. They do so
        // only with proof that its VM is gone or that a later run has taken its place; a VM that was
        // frozen for long enough and thaws has missed it. What it admitted now would come on top.
        let left_out = answer.epoch == Epoch::default()
            && self.ledger.epoch().is_some_and(|own| own < answer.newest);
        if newer_run || left_out {
            Line::new("rights_forfeited")
                .with("epoch", answer.newest)
                .with("newer_run", newer_run)
                .error();
            self.ledger.discard_all();
            self.readiness.ask_to_stop();
            return None;
        }
        self.ledger.set_peers(self.members.holders());
        self.settling.note_holders(self.members.stopping(), now);
        let is_known = self.members.gateway_run(self.me.vm) == Some(self.me.incarnation);
        self.settling
            .note(answer.epoch, answer.closing, is_known, now);
        if answer.epoch == Epoch::default() {
            return None;
        }
        let entered = self
            .ledger
            .enter_epoch(answer.epoch, now)
            .map(<[_]>::to_vec);
        self.ledger.apply_grants(answer.epoch, &answer.grants, now);
        for grant in &answer.grants {
            self.settling.note_issued(grant.account);
        }
        self.retry_asking(now);
        self.dispatch(now);
        entered
            .filter(|_| self.reported != Some(answer.epoch))
            .map(|held| (answer.epoch, held))
    }

    /// Notes that the holdings on entering an epoch have been reported.
    pub const fn reported(
        &mut self,
        epoch: Epoch,
    ) {
        self.reported = Some(epoch);
    }

    /// Takes in what an owner tells of its engines; those not named are as it last told.
    pub fn take_upstreams(
        &mut self,
        of: VmId,
        engines: Vec<EngineView>,
        recalls: Vec<Instance>,
    ) {
        let now = self.clock.now();
        for upstream in self.members.owned_by(of) {
            self.router.confirm_view(upstream);
        }
        let observed = engines
            .into_iter()
            .flat_map(|view| self.router.update_view(view, now))
            .collect::<Vec<_>>();
        self.effects.extend(observed.into_iter().map(Effect::from));
        for instance in recalls {
            let actions = self.router.recall(instance);
            self.effects.extend(actions.into_iter().map(Effect::from));
        }
        self.dispatch(now);
    }

    /// Takes in an owner's answer about an adapter.
    pub fn handle_acquire_outcome(
        &mut self,
        upstream: UpstreamId,
        adapter: jasmine_core::ids::AdapterVersion,
        ask: u64,
        outcome: AcquireOutcome,
    ) {
        let now = self.clock.now();
        self.router
            .handle_acquire_outcome(upstream, adapter, ask, outcome, now);
        if let (AcquireOutcome::Granted { .. }, Some(load)) =
            (outcome, self.loads.get_mut(&adapter))
        {
            load.to = Some(now);
        }
        self.dispatch(now);
    }

    /// Takes in rights that a peer has given.
    pub fn received(
        &mut self,
        transfer: jasmine_core::ids::TransferId,
        account: AccountId,
        given: &jasmine_core::rights::TakeResponse,
    ) {
        let now = self.clock.now();
        self.ledger.handle_take_response(transfer, given, now);
        self.retry_account(account, now);
        self.dispatch(now);
    }
}

fn specs(fleet: &Fleet) -> Vec<UpstreamSpec> {
    fleet
        .upstreams
        .iter()
        .map(|upstream| UpstreamSpec {
            upstream: upstream.id,
            data_centre: upstream.data_centre,
            kind: match upstream.kind {
                UpstreamKind::Engine {
                    model,
                    slots,
                    max_batch,
                    ..
                } => UpstreamSpecKind::Engine {
                    model,
                    slots,
                    max_batch,
                },
                UpstreamKind::Server { service } => UpstreamSpecKind::Server { service },
            },
            is_draining: upstream.state == UpstreamState::Leaving,
        })
        .collect()
}
