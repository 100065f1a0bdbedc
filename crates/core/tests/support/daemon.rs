use {
    super::reference::Usage,
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        ids::{AccountId, Holder},
        membership::EpochRecord,
        rights::{
            Admission, CallerTag, Charge, OutgoingTakeRequest, Right, RightsLedger, RightsSettings,
        },
    },
};

/// A request that waits for responses of peers.
#[derive(Clone, Copy, Debug)]
struct Asking {
    account: AccountId,
    cost: u64,
    actual_tokens: u64,
    caller: CallerTag,
    since: Millis,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Admitted,
    Pending,
    Refused(ErrorKind, Option<Millis>),
}

/// A daemon with a rights ledger.
#[derive(Debug)]
pub struct Daemon {
    pub holder: Holder,
    pub ledger: RightsLedger,
    asking: Vec<Asking>,
    /// Charges of running requests and their indexes in the usage records.
    charges: Vec<(Charge, usize)>,
}

impl Daemon {
    pub fn new(
        holder: Holder,
        settings: RightsSettings,
    ) -> Self {
        Self {
            holder,
            ledger: RightsLedger::new(holder, settings),
            asking: Vec::new(),
            charges: Vec::new(),
        }
    }

    /// Handles a new request.
    pub fn request(
        &mut self,
        account: AccountId,
        cost: u64,
        actual_tokens: u64,
        caller: CallerTag,
        now: Millis,
        ran: &mut Vec<Usage>,
    ) -> (Outcome, Vec<OutgoingTakeRequest>) {
        let asking = Asking {
            account,
            cost,
            actual_tokens,
            caller,
            since: now,
        };
        self.attempt(asking, now, ran)
    }

    /// Retries waiting requests, and refuses those that have timed out.
    pub fn retry(
        &mut self,
        now: Millis,
        ran: &mut Vec<Usage>,
    ) -> (Vec<Outcome>, Vec<OutgoingTakeRequest>) {
        let (mut outcomes, mut asks) = (Vec::new(), Vec::new());
        for asking in std::mem::take(&mut self.asking) {
            let (outcome, more) = match now.since(asking.since) {
                waited if waited >= Millis(100) => (self.refuse(asking, now), Vec::new()),
                _ => self.attempt(asking, now, ran),
            };
            asks.extend(more);
            outcomes.push(outcome);
        }
        (outcomes, asks)
    }

    /// Ends the oldest running request and settles its charge.
    pub fn finish(
        &mut self,
        now: Millis,
        ran: &mut [Usage],
    ) -> bool {
        if self.charges.is_empty() {
            return false;
        }
        let (charge, index) = self.charges.remove(0);
        ran[index].finished = true;
        self.ledger.settle(charge, ran[index].actual_tokens, now);
        true
    }

    /// Handles an epoch record; returns the rights to report if it is a member.
    pub fn handle_epoch(
        &mut self,
        record: &EpochRecord,
        now: Millis,
    ) -> Option<Vec<Right>> {
        if !record.is_member(self.holder) {
            return None;
        }
        let report = self.ledger.enter_epoch(record.epoch, now)?.to_vec();
        let role = self.holder.role;
        self.ledger.set_peers(
            record
                .members
                .iter()
                .copied()
                .filter(|peer| peer.role == role),
        );
        self.ledger
            .apply_grants(record.epoch, record.grants_for(self.holder), now);
        Some(report)
    }

    fn attempt(
        &mut self,
        asking: Asking,
        now: Millis,
        ran: &mut Vec<Usage>,
    ) -> (Outcome, Vec<OutgoingTakeRequest>) {
        let Asking {
            account,
            cost,
            caller,
            ..
        } = asking;
        match self.ledger.try_admit(account, cost, caller, now) {
            Admission::Admitted(charge) => {
                self.charges.push((charge, ran.len()));
                ran.push(Usage {
                    account,
                    at: now,
                    charged: cost,
                    actual_tokens: asking.actual_tokens,
                    finished: false,
                });
                (Outcome::Admitted, Vec::new())
            }
            Admission::NeedsRights { shortfall } => {
                self.asking.push(asking);
                let asks = self.ledger.create_take_requests(account, shortfall, now);
                (Outcome::Pending, asks)
            }
            Admission::Refused(refusal) => (
                Outcome::Refused(refusal.kind, refusal.retry_after),
                Vec::new(),
            ),
        }
    }

    fn refuse(
        &mut self,
        asking: Asking,
        now: Millis,
    ) -> Outcome {
        let Asking {
            account,
            cost,
            caller,
            ..
        } = asking;
        let refusal = self.ledger.refuse_with_retry(account, cost, caller, now);
        Outcome::Refused(refusal.kind, refusal.retry_after)
    }
}
