//! From a request's arrival to its place in the queue.

use {
    super::{Admission, Effect, Routed, Running, Stage, State},
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, RequestId},
        queue::{self, QueuedRequest},
        rights,
        routing::Target,
    },
    std::collections::VecDeque,
    tokio::sync::oneshot,
};

/// How long a request waits for rights that peers may give before it is refused for its rate.
///
/// Peers answer within a few milliseconds; one that doesn't is slow or gone.
const ASK_LIMIT: Millis = Millis(300);
/// The same while holders come and go, when rights may be nowhere for a moment.
const FLUX_LIMIT: Millis = Millis(1_000);
/// The same for an account that is new: the epoch that gives out its rights waits for the one before to settle.
const NEW_LIMIT: Millis = Millis(1_500);

impl State {
    /// Takes a request in.
    pub fn admit(
        &mut self,
        admission: Admission,
        reply: oneshot::Sender<Result<Routed, Refusal>>,
        withdrawn: oneshot::Sender<()>,
    ) {
        let now = self.clock.now();
        let mut running = Running::new(admission, reply, withdrawn, now);
        if let Err(kind) = self.may_begin(&admission) {
            running.answer(Err(Refusal::new(kind)));
            return;
        }
        let request = admission.request;
        self.running.insert(request, running);
        self.charge(request, now);
        self.dispatch(now);
    }

    fn may_begin(
        &self,
        admission: &Admission,
    ) -> Result<(), ErrorKind> {
        match self.fleet.key(admission.key) {
            _ if self.readiness.is_stopping() => Err(ErrorKind::ShuttingDown),
            _ if !self.readiness.is_confirmed() => Err(ErrorKind::ConfigUnavailable),
            None => Err(ErrorKind::KeyUnknown),
            Some(key) if key.withdrawn => Err(ErrorKind::KeyWithdrawn),
            Some(key) if key.account != admission.account => Err(ErrorKind::KeyUnknown),
            Some(_) => Ok(()),
        }
    }

    /// Charges a request, asks peers where too little is held here, or refuses it.
    pub(super) fn charge(
        &mut self,
        request: RequestId,
        now: Millis,
    ) {
        let Some(running) = self.running.get(&request) else {
            return;
        };
        let admission = running.admission;
        let since = match running.stage {
            Stage::Asking { since } => since,
            _ => now,
        };
        let (account, cost, caller) = (admission.account, admission.cost, admission.caller);
        match self.ledger.try_admit(account, cost, caller, now) {
            rights::Admission::Admitted(charge) => {
                self.set_stage(request, Stage::Idle);
                if let Some(running) = self.running.get_mut(&request) {
                    running.charge = Some(charge);
                }
                self.enqueue(request, now);
            }
            rights::Admission::NeedsRights { .. }
                if now.since(since) >= self.ask_limit(account, now) =>
            {
                let refusal = self.ledger.refuse_with_retry(account, cost, caller, now);
                self.refuse(request, refusal);
            }
            rights::Admission::NeedsRights { shortfall } => {
                let asks = self.ledger.create_take_requests(account, shortfall, now);
                self.effects
                    .extend(asks.into_iter().map(Effect::TakeRights));
                self.wait_for_rights(request, account, since);
            }
            // What is refused now may be admitted in a moment, when the rights that are on their way
            // between two epochs, or to their first holders, have arrived.
            rights::Admission::Refused(refusal)
                if refusal.kind == ErrorKind::RateLimited
                    && now.since(since) < self.flux_limit(account, now) =>
            {
                self.wait_for_rights(request, account, since);
            }
            rights::Admission::Refused(refusal) => self.refuse(request, refusal),
        }
    }

    fn ask_limit(
        &self,
        account: AccountId,
        now: Millis,
    ) -> Millis {
        self.flux_limit(account, now).max(ASK_LIMIT)
    }

    /// How long to wait for rights that are nowhere for a moment; nothing where they are at their holders.
    fn flux_limit(
        &self,
        account: AccountId,
        now: Millis,
    ) -> Millis {
        match () {
            () if self.settling.is_new(account, now) => NEW_LIMIT,
            () if self.settling.is_in_flux(now) => FLUX_LIMIT,
            () => Millis::ZERO,
        }
    }

    fn wait_for_rights(
        &mut self,
        request: RequestId,
        account: AccountId,
        since: Millis,
    ) {
        self.set_stage(request, Stage::Asking { since });
        let line = self.asking.entry(account).or_default();
        if !line.contains(&request) {
            line.push_back(request);
        }
    }

    /// Tries again for the requests of an account that wait for rights, in their order.
    pub(super) fn retry_account(
        &mut self,
        account: AccountId,
        now: Millis,
    ) {
        let line = self.asking.remove(&account).unwrap_or_default();
        for request in line {
            let is_asking = self
                .running
                .get(&request)
                .is_some_and(|running| matches!(running.stage, Stage::Asking { .. }));
            if is_asking {
                self.charge(request, now);
            }
        }
    }

    /// Tries again for all requests that wait for rights.
    pub(super) fn retry_asking(
        &mut self,
        now: Millis,
    ) {
        let accounts: VecDeque<AccountId> = self.asking.keys().copied().collect();
        for account in accounts {
            self.retry_account(account, now);
        }
    }

    pub(super) fn enqueue(
        &mut self,
        request: RequestId,
        now: Millis,
    ) {
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        let admission = running.admission;
        running.waiting_since = now;
        let waiting = QueuedRequest {
            request,
            account: admission.account,
            priority: admission.priority,
            cost: admission.cost,
            deadline: admission.deadline,
            target: queue_target(admission.target),
        };
        match self.queue.push(waiting, now) {
            Ok(_) => self.set_stage(request, Stage::Queued),
            Err(refusal) => self.refuse(request, refusal),
        }
    }

    /// Refuses a request of which nothing has been sent in this attempt.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        refusal: Refusal,
    ) {
        let now = self.clock.now();
        let Some(running) = self.running.get_mut(&request) else {
            return;
        };
        running.stage = Stage::Idle;
        running.answer(Err(refusal));
        if let Some(charge) = running.charge.take() {
            self.ledger.settle(charge, 0, now);
        }
    }

    pub(super) fn set_stage(
        &mut self,
        request: RequestId,
        stage: Stage,
    ) {
        if let Some(running) = self.running.get_mut(&request) {
            running.stage = stage;
        }
    }
}

const fn queue_target(target: Target) -> queue::Target {
    match target {
        Target::Base(model) => queue::Target::Base(model),
        Target::Adapter(_, adapter) => queue::Target::Adapter(adapter),
        Target::Service(service) => queue::Target::Service(service),
    }
}
