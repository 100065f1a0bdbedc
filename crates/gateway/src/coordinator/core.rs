use {
    super::{ClaimRequest, ClaimResult, Effect, Links, State},
    jasmine_conf::settings::GatewaySettings,
    jasmine_core::{
        clock::Millis,
        ids::{Holder, VmId},
        ownership::AcquireOutcome,
    },
    jasmine_wire::{convert::write_peer, jasmine_capnp::ClaimOutcome},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc},
    tokio::task::spawn_local,
};

/// How long an owner may hold its response while the adapter is being loaded.
const ACQUIRE_WAIT: Millis = Millis(2_000);
/// Attempts to report a release to an owner; if all fail, the next engine poll reports it.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// State and RPC links of the coordinator; runs the effects of state changes on its thread.
#[derive(Debug)]
pub struct Core {
    /// State that all decisions are based on.
    pub state: RefCell<State>,
    /// RPC links to other daemons.
    pub links: Links,
    me: Holder,
    own_controller: SocketAddr,
}

impl Core {
    /// Creates the core of a gateway whose local controller is `settings.controller`.
    pub fn new(
        state: State,
        links: Links,
        me: Holder,
        settings: &GatewaySettings,
    ) -> Self {
        Self {
            state: RefCell::new(state),
            links,
            me,
            own_controller: settings.controller,
        }
    }

    /// The VM that this gateway runs on.
    pub const fn vm(&self) -> VmId {
        self.me.vm
    }

    /// The controllers in the order in which they are tried, the local one first.
    ///
    /// The others keep the gateway working while the local one is down.
    pub fn controllers(&self) -> Vec<(VmId, SocketAddr)> {
        let mut all = vec![(self.me.vm, self.own_controller)];
        all.extend(self.state.borrow().members.controllers_except(self.me.vm));
        all
    }

    /// Applies `f` to the state and spawns the effects that it produced.
    pub fn update<T, F>(
        self: &Rc<Self>,
        f: F,
    ) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        let (result, effects) = {
            let mut state = self.state.borrow_mut();
            let result = f(&mut state);
            (result, state.take_effects())
        };
        for effect in effects {
            spawn_local(Rc::clone(self).run_effect(effect));
        }
        result
    }

    async fn run_effect(
        self: Rc<Self>,
        effect: Effect,
    ) {
        match effect {
            Effect::TakeRights(take) => {
                let address = self.state.borrow().members.gateway(take.to);
                let Some(address) = address else {
                    return;
                };
                // On failure the ledger sends the same transfer again.
                if let Ok(given) = self.links.take_rights(address, take).await {
                    let account = take.request.account;
                    self.update(|state| state.apply_rights(take.request.transfer, account, &given));
                }
            }
            Effect::Acquire {
                upstream,
                adapter,
                account,
                ask,
            } => {
                let owner = self.state.borrow().members.owner(upstream);
                let outcome = match owner {
                    Some((_, address)) => self
                        .links
                        .acquire(address, upstream, adapter, account, ask, ACQUIRE_WAIT)
                        .await
                        .unwrap_or(AcquireOutcome::NotOwner),
                    None => AcquireOutcome::NotOwner,
                };
                self.update(|state| state.handle_acquire_outcome(upstream, adapter, ask, outcome));
            }
            Effect::Release {
                instance,
                fence,
                ask,
            } => {
                for _ in 0..MAX_RELEASE_ATTEMPTS {
                    let owner = self.state.borrow().members.owner(instance.upstream);
                    let Some((_, address)) = owner else {
                        return;
                    };
                    if self
                        .links
                        .release(address, instance, fence, ask)
                        .await
                        .is_ok()
                    {
                        return;
                    }
                }
            }
        }
    }

    /// Claims an idempotency key through the first controller that can be reached.
    pub async fn claim(
        &self,
        claim: ClaimRequest,
    ) -> ClaimResult {
        for (_, address) in self.controllers() {
            let (me, claim) = (self.me, claim.clone());
            let answer = self
                .links
                .controller(address)
                .call(CLAIM_TIMEOUT, move |client| async move {
                    let mut req = client.claim_request();
                    write_peer(req.get().init_from(), me);
                    req.get().set_key(&claim.key);
                    req.get().set_fingerprint(&claim.fingerprint);
                    let res = req.send().promise.await?;
                    let res = res.get()?;
                    Ok(match res.get_outcome()? {
                        ClaimOutcome::Fresh => ClaimResult::Fresh,
                        ClaimOutcome::Running => ClaimResult::Running,
                        ClaimOutcome::Done => ClaimResult::Done(res.get_answer()?.to_vec()),
                        ClaimOutcome::Mismatch => ClaimResult::Mismatch,
                        ClaimOutcome::Unavailable => ClaimResult::Unavailable,
                    })
                })
                .await;
            match answer {
                Ok(answer) => return answer,
                Err(e) if e.is_not_sent() => {}
                // The claim may have been stored. Another controller would then report it as
                // running, which is wrong because this request hasn't started.
                Err(_) => return ClaimResult::Unavailable,
            }
        }
        ClaimResult::Unavailable
    }

    /// Stores the answer of a claimed request, or releases the claim if `answer` is none.
    ///
    /// Returns whether it was stored.
    pub async fn finish_claim(
        &self,
        claim: ClaimRequest,
        answer: Option<Arc<[u8]>>,
    ) -> bool {
        let answer = answer.unwrap_or_default();
        let is_release = answer.is_empty();
        for (_, address) in self.controllers() {
            let (me, claim, answer) = (self.me, claim.clone(), Arc::clone(&answer));
            let stored = self
                .links
                .controller(address)
                .call(CLAIM_TIMEOUT, move |client| async move {
                    let mut req = client.finish_claim_request();
                    write_peer(req.get().init_from(), me);
                    req.get().set_key(&claim.key);
                    req.get().set_fingerprint(&claim.fingerprint);
                    req.get().set_answer(&answer);
                    let res = req.send().promise.await?;
                    Ok(res.get()?.get_stored())
                })
                .await;
            match stored {
                Ok(true) => return true,
                Err(e) if e.is_not_sent() => {}
                // Storing the same answer twice is idempotent; a repeated release could remove the
                // claim of the caller's next attempt.
                _ if is_release => return false,
                _ => {}
            }
        }
        false
    }
}

/// Timeout for a claim to be written to the store.
const CLAIM_TIMEOUT: Millis = Millis(3_000);
