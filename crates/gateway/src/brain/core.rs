use {
    super::{ClaimAnswer, ClaimRequest, Effect, Links, State},
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

/// How long an owner may hold back its answer while a load is under way.
const ACQUIRE_WAIT: Millis = Millis(2_000);
/// Attempts to give an owner the word that an instance has been dropped; after that the next poll says so.
const RELEASE_ATTEMPTS: u32 = 3;

/// Decisions and connections together, on the brain's thread.
#[derive(Debug)]
pub struct Core {
    /// What is decided by.
    pub state: RefCell<State>,
    /// The connections.
    pub links: Links,
    me: Holder,
    own_controller: SocketAddr,
}

impl Core {
    /// Puts decisions and connections together.
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

    /// The own VM.
    pub const fn vm(&self) -> VmId {
        self.me.vm
    }

    /// The controllers in the order in which they are asked: the own one first, then the others.
    ///
    /// The own one may be dead, which must not take this daemon with it.
    pub fn controllers(&self) -> Vec<(VmId, SocketAddr)> {
        let mut all = vec![(self.me.vm, self.own_controller)];
        all.extend(self.state.borrow().members.controllers_but_for(self.me.vm));
        all
    }

    /// Changes the state and sends what follows from it.
    pub fn decide<T, F>(
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
            spawn_local(Rc::clone(self).carry_out(effect));
        }
        result
    }

    async fn carry_out(
        self: Rc<Self>,
        effect: Effect,
    ) {
        match effect {
            Effect::TakeRights(ask) => {
                let address = self.state.borrow().members.gateway(ask.to);
                let Some(address) = address else {
                    return;
                };
                // No answer is no loss here: the ledger sends the same transfer again.
                if let Ok(given) = self.links.take_rights(address, ask).await {
                    let account = ask.request.account;
                    self.decide(|state| state.received(ask.request.transfer, account, &given));
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
                self.decide(|state| state.handle_acquire_outcome(upstream, adapter, ask, outcome));
            }
            Effect::Release {
                instance,
                fence,
                ask,
            } => {
                for _ in 0..RELEASE_ATTEMPTS {
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
    ) -> ClaimAnswer {
        for (_, address) in self.controllers() {
            let (me, claim) = (self.me, claim.clone());
            let answer = self
                .links
                .controller(address)
                .call(CLAIM_WAIT, move |client| async move {
                    let mut req = client.claim_request();
                    write_peer(req.get().init_from(), me);
                    req.get().set_key(&claim.key);
                    req.get().set_fingerprint(&claim.fingerprint);
                    let res = req.send().promise.await?;
                    let res = res.get()?;
                    Ok(match res.get_outcome()? {
                        ClaimOutcome::Fresh => ClaimAnswer::Fresh,
                        ClaimOutcome::Running => ClaimAnswer::Running,
                        ClaimOutcome::Done => ClaimAnswer::Done(res.get_answer()?.to_vec()),
                        ClaimOutcome::Mismatch => ClaimAnswer::Mismatch,
                        ClaimOutcome::Unavailable => ClaimAnswer::Unavailable,
                    })
                })
                .await;
            match answer {
                Ok(answer) => return answer,
                Err(e) if e.is_not_begun() => {}
                // The claim may have been written. Asking another controller would find it and say
                // that a call is running; nothing was begun, so that would be wrong too.
                Err(_) => return ClaimAnswer::Unavailable,
            }
        }
        ClaimAnswer::Unavailable
    }

    /// Records an answer, or gives a claim back with none.
    pub async fn finish_claim(
        &self,
        claim: ClaimRequest,
        answer: Option<Arc<[u8]>>,
    ) -> bool {
        let answer = answer.unwrap_or_default();
        let gives_back = answer.is_empty();
        for (_, address) in self.controllers() {
            let (me, claim, answer) = (self.me, claim.clone(), Arc::clone(&answer));
            let stored = self
                .links
                .controller(address)
                .call(CLAIM_WAIT, move |client| async move {
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
                Err(e) if e.is_not_begun() => {}
                // Writing the same answer again does no harm; giving back again could take away the
                // claim of the caller's next attempt.
                _ if gives_back => return false,
                _ => {}
            }
        }
        false
    }
}

/// How long the store may take to record a claim.
const CLAIM_WAIT: Millis = Millis(3_000);
