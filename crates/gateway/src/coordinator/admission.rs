//! Admission: checks a new request, charges its account and queues it.

use {
    super::{ActiveRequest, AdmissionRequest, Effect, Routed, Stage, State},
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

/// How long a request waits for rights from peers before it is refused as rate limited.
const PEER_RIGHTS_TIMEOUT: Millis = Millis(300);
/// How long a request waits for rights while gateways join or leave and some rights are unassigned.
const TRANSITION_TIMEOUT: Millis = Millis(1_000);
/// How long a request of a new account waits for the first grant of its rights.
const NEW_ACCOUNT_TIMEOUT: Millis = Millis(1_500);

impl State {
    /// Admits a new request; `reply` receives its route or the refusal.
    pub fn admit(
        &mut self,
        admission: AdmissionRequest,
        reply: oneshot::Sender<Result<Routed, Refusal>>,
        withdrawn: oneshot::Sender<()>,
    ) {
        let now = self.clock.now();
        let mut active = ActiveRequest::new(admission, reply, withdrawn, now);
        if let Err(kind) = self.check_admissible(&admission) {
            active.send_reply(Err(Refusal::new(kind)));
            return;
        }
        let request = admission.request;
        self.active.insert(request, active);
        self.charge(request, now);
        self.dispatch(now);
    }

    fn check_admissible(
        &self,
        admission: &AdmissionRequest,
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

    /// Charges a request and queues it, requests missing rights from peers, or refuses it.
    pub(super) fn charge(
        &mut self,
        request: RequestId,
        now: Millis,
    ) {
        let Some(active) = self.active.get(&request) else {
            return;
        };
        let admission = active.admission;
        let since = match active.stage {
            Stage::AwaitingRights { since } => since,
            _ => now,
        };
        let (account, cost, caller) = (admission.account, admission.cost, admission.caller);
        match self.ledger.try_admit(account, cost, caller, now) {
            rights::Admission::Admitted(charge) => {
                self.set_stage(request, Stage::Idle);
                if let Some(active) = self.active.get_mut(&request) {
                    active.charge = Some(charge);
                }
                self.enqueue(request, now);
            }
            rights::Admission::NeedsRights { .. }
                if now.since(since) >= self.rights_wait_timeout(account, now) =>
            {
                let refusal = self.ledger.refuse_with_retry(account, cost, caller, now);
                self.refuse(request, refusal);
            }
            rights::Admission::NeedsRights { shortfall } => {
                let take_requests = self.ledger.create_take_requests(account, shortfall, now);
                self.effects
                    .extend(take_requests.into_iter().map(Effect::TakeRights));
                self.wait_for_rights(request, account, since);
            }
            // Some rights have no holder during an epoch change or before an account's first grant;
            // once they are granted the request may be admitted.
            rights::Admission::Refused(refusal)
                if refusal.kind == ErrorKind::RateLimited
                    && now.since(since) < self.transition_wait_timeout(account, now) =>
            {
                self.wait_for_rights(request, account, since);
            }
            rights::Admission::Refused(refusal) => self.refuse(request, refusal),
        }
    }

    fn rights_wait_timeout(
        &self,
        account: AccountId,
        now: Millis,
    ) -> Millis {
        self.transition_wait_timeout(account, now)
            .max(PEER_RIGHTS_TIMEOUT)
    }

    /// How long to wait for rights that have no holder; zero while all rights are held.
    fn transition_wait_timeout(
        &self,
        account: AccountId,
        now: Millis,
    ) -> Millis {
        match () {
            () if self.rights_availability.is_new_account(account, now) => NEW_ACCOUNT_TIMEOUT,
            () if self.rights_availability.is_in_transition(now) => TRANSITION_TIMEOUT,
            () => Millis::ZERO,
        }
    }

    fn wait_for_rights(
        &mut self,
        request: RequestId,
        account: AccountId,
        since: Millis,
    ) {
        self.set_stage(request, Stage::AwaitingRights { since });
        let waiters = self.awaiting_rights.entry(account).or_default();
        if !waiters.contains(&request) {
            waiters.push_back(request);
        }
    }

    /// Retries the charge of an account's requests that wait for rights, in arrival order.
    pub(super) fn retry_account(
        &mut self,
        account: AccountId,
        now: Millis,
    ) {
        let waiters = self.awaiting_rights.remove(&account).unwrap_or_default();
        for request in waiters {
            let is_awaiting_rights = self
                .active
                .get(&request)
                .is_some_and(|active| matches!(active.stage, Stage::AwaitingRights { .. }));
            if is_awaiting_rights {
                self.charge(request, now);
            }
        }
    }

    /// Retries the charge of all requests that wait for rights.
    pub(super) fn retry_awaiting_rights(
        &mut self,
        now: Millis,
    ) {
        let accounts: VecDeque<AccountId> = self.awaiting_rights.keys().copied().collect();
        for account in accounts {
            self.retry_account(account, now);
        }
    }

    pub(super) fn enqueue(
        &mut self,
        request: RequestId,
        now: Millis,
    ) {
        let Some(active) = self.active.get_mut(&request) else {
            return;
        };
        let admission = active.admission;
        active.waiting_since = now;
        let queued_request = QueuedRequest {
            request,
            account: admission.account,
            priority: admission.priority,
            cost: admission.cost,
            deadline: admission.deadline,
            target: queue_target(admission.target),
        };
        match self.queue.push(queued_request, now) {
            Ok(_) => self.set_stage(request, Stage::Queued),
            Err(refusal) => self.refuse(request, refusal),
        }
    }

    /// Refuses a request that hasn't been sent in this attempt, and refunds its charge.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        refusal: Refusal,
    ) {
        let now = self.clock.now();
        let Some(active) = self.active.get_mut(&request) else {
            return;
        };
        active.stage = Stage::Idle;
        active.send_reply(Err(refusal));
        if let Some(charge) = active.charge.take() {
            self.ledger.settle(charge, 0, now);
        }
    }

    pub(super) fn set_stage(
        &mut self,
        request: RequestId,
        stage: Stage,
    ) {
        if let Some(active) = self.active.get_mut(&request) {
            active.stage = stage;
        }
    }
}

const fn queue_target(target: Target) -> queue::QueueTarget {
    match target {
        Target::Base(model) => queue::QueueTarget::Base(model),
        Target::Adapter(_, adapter) => queue::QueueTarget::Adapter(adapter),
        Target::Service(service) => queue::QueueTarget::Service(service),
    }
}
