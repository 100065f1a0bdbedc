//! Applies responses of controllers and peers: configuration, fleet, engines and rights.

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

/// A controller's response to a configuration poll.
#[derive(Clone, Debug)]
pub struct ConfigResponse {
    /// The VM of the responding controller.
    pub vm: VmId,
    /// JSON of the edits or of the whole tree; empty if there is nothing newer.
    pub body: Vec<u8>,
    /// Whether `body` holds the whole tree instead of edits.
    pub is_full_tree: bool,
    /// Time since the store last confirmed that controller's configuration.
    pub store_confirmation_age: Millis,
}

/// A controller's response to a poll for the VMs, the engine owners and the rights epoch.
#[derive(Clone, Debug)]
pub struct FleetResponse {
    /// All VMs of the serving layer.
    pub members: Vec<Member>,
    /// VM whose controller owns each engine and sends it load orders.
    pub owners: HashMap<UpstreamId, VmId>,
    /// The rights epoch that this gateway is a member of; the default if it is in none.
    pub epoch: Epoch,
    /// The newest rights epoch, whether or not this gateway is a member.
    pub newest_epoch: Epoch,
    /// Whether the epoch still collects its members' reports of the rights that they hold.
    pub is_closing: bool,
    /// Shares of the accounts' rate limits that the epoch grants to this gateway.
    pub grants: Vec<Right>,
}

impl State {
    /// The revision of the current configuration.
    pub fn revision(&self) -> Revision {
        self.fleet.revision
    }

    /// Applies a controller's response to a configuration poll.
    ///
    /// Revisions that aren't newer are ignored, so a lagging controller can't revert the configuration.
    pub fn apply_config(
        &mut self,
        response: &ConfigResponse,
    ) {
        let before = self.revision();
        if !response.body.is_empty() && !self.apply(response) {
            // Doesn't count as a confirmation; the next poll requests the whole tree.
            Line::new("config_not_understood")
                .with("vm", response.vm)
                .warn();
            return;
        }
        let now = self.clock.now();
        self.config_freshness.record_response(
            response.vm,
            Some(response.store_confirmation_age),
            now,
        );
        if self.revision() > before {
            self.on_config_change();
        }
        self.tick();
    }

    fn apply(
        &mut self,
        response: &ConfigResponse,
    ) -> bool {
        if response.is_full_tree {
            let Ok(body) = serde_json::from_slice::<TreeBody>(&response.body) else {
                return false;
            };
            if body.revision > self.revision() {
                let tree = Tree::from(body);
                self.fleet = tree.resolve();
                self.tree = Some(tree);
            }
            return true;
        }
        let Ok(body) = serde_json::from_slice::<EditsBody>(&response.body) else {
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
                Ok(changes) => tree.refresh(&mut self.fleet, &changes),
                Err(_) => return false,
            }
        }
        true
    }

    fn on_config_change(&mut self) {
        let now = self.clock.now();
        self.set_upstreams();
        self.set_accounts(now);
        self.cancel_requests_with_withdrawn_keys();
        self.remove_accounts(now);
        self.fleet_updates
            .send_replace(Arc::new(self.fleet.clone()));
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
            self.router = Self::new_router(own);
        }
        let specs: Vec<UpstreamSpec> = upstream_specs(&self.fleet);
        self.router.set_upstreams(&specs);
    }

    fn set_accounts(
        &mut self,
        now: Millis,
    ) {
        if self.accounts.is_empty() && self.fleet.accounts.iter().next().is_some() {
            self.rights_availability.note_first_accounts(now);
        }
        for account in self.fleet.accounts.iter() {
            if self.accounts.insert(account.id) {
                self.rights_availability.note_new_account(account.id, now);
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

    /// Removes deleted accounts, whose ids are never reused.
    ///
    /// Otherwise their rights would be kept and reported in every epoch until the process stops.
    fn remove_accounts(
        &mut self,
        now: Millis,
    ) {
        let current: BTreeSet<AccountId> = self
            .fleet
            .accounts
            .iter()
            .map(|account| account.id)
            .collect();
        let deleted: Vec<AccountId> = self.accounts.difference(&current).copied().collect();
        for account in deleted {
            self.accounts.remove(&account);
            let awaiting_rights = self.awaiting_rights.remove(&account).unwrap_or_default();
            let queued = self.queue.remove(account, now);
            let queued = queued
                .into_iter()
                .map(|queued_request| queued_request.request);
            for request in awaiting_rights.into_iter().chain(queued) {
                self.refuse(request, Refusal::new(ErrorKind::KeyUnknown));
            }
            self.ledger.remove(account);
            self.rights_availability.note_grant(account);
        }
    }

    /// Cancels active requests whose API key was withdrawn (revoked) or deleted.
    fn cancel_requests_with_withdrawn_keys(&mut self) {
        for active in self.active.values_mut() {
            let key = self.fleet.key(active.admission.key);
            if key.is_none_or(|key| key.withdrawn) {
                active.notify_key_withdrawn();
            }
        }
    }

    /// Applies a controller's response to a fleet poll.
    ///
    /// Returns the epoch and the rights held at its start, unless they have been reported already.
    pub fn apply_fleet(
        &mut self,
        response: FleetResponse,
    ) -> Option<(Epoch, Vec<Right>)> {
        let now = self.clock.now();
        self.members.set(response.members, response.owners);
        let is_superseded = self
            .members
            .gateway_incarnation(self.me.vm)
            .is_some_and(|incarnation| incarnation > self.me.incarnation);
        // The rights of this process have been granted to others, because its VM was confirmed dead
        // (it may only have been suspended) or a newer process replaced it. Admitting requests with
        // them would exceed the accounts' limits.
        let is_excluded = response.epoch == Epoch::default()
            && self
                .ledger
                .epoch()
                .is_some_and(|own| own < response.newest_epoch);
        if is_superseded || is_excluded {
            Line::new("rights_forfeited")
                .with("epoch", response.newest_epoch)
                .with("newer_run", is_superseded)
                .error();
            self.ledger.discard_all();
            self.readiness.request_stop();
            return None;
        }
        self.ledger.set_peers(self.members.holders());
        self.rights_availability
            .note_holders(self.members.holders_with_draining(), now);
        let is_listed = self.members.gateway_incarnation(self.me.vm) == Some(self.me.incarnation);
        self.rights_availability
            .note_epoch(response.epoch, response.is_closing, is_listed, now);
        if response.epoch == Epoch::default() {
            return None;
        }
        let entered = self
            .ledger
            .enter_epoch(response.epoch, now)
            .map(<[_]>::to_vec);
        self.ledger
            .apply_grants(response.epoch, &response.grants, now);
        for grant in &response.grants {
            self.rights_availability.note_grant(grant.account);
        }
        self.retry_awaiting_rights(now);
        self.dispatch(now);
        entered
            .filter(|_| self.reported_epoch != Some(response.epoch))
            .map(|held| (response.epoch, held))
    }

    /// Records that the rights held at the start of `epoch` have been reported.
    pub const fn note_reported_epoch(
        &mut self,
        epoch: Epoch,
    ) {
        self.reported_epoch = Some(epoch);
    }

    /// Applies an owner's response to a poll of its engines; engines not listed are unchanged.
    pub fn apply_engine_views(
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

    /// Applies an owner's response to a request for an adapter.
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
            (outcome, self.adapter_loads.get_mut(&adapter))
        {
            load.ended_at = Some(now);
        }
        self.dispatch(now);
    }

    /// Applies a peer's response to a request for rights.
    pub fn apply_rights(
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

fn upstream_specs(fleet: &Fleet) -> Vec<UpstreamSpec> {
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
