use {
    super::{OutgoingTakeRequest, RightsSettings},
    crate::{
        clock::Millis,
        ids::{AccountId, Holder, TransferId},
    },
    std::collections::BTreeMap,
};

/// A request for rights that has not been answered.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    ask: OutgoingTakeRequest,
    sent_at: Millis,
    resends: u32,
}

/// Unanswered requests for rights; each response is accepted once.
#[derive(Clone, Debug, Default)]
pub struct PendingRequests {
    requests: BTreeMap<TransferId, PendingRequest>,
    last_transfer: u64,
}

impl PendingRequests {
    /// Returns a new transfer id; ids are never reused.
    pub const fn next_transfer(&mut self) -> TransferId {
        self.last_transfer += 1;
        TransferId(self.last_transfer)
    }

    /// Adds a request that is sent at `now`.
    pub fn add(
        &mut self,
        ask: OutgoingTakeRequest,
        now: Millis,
    ) {
        let pending = PendingRequest {
            ask,
            sent_at: now,
            resends: 0,
        };
        self.requests.insert(ask.request.transfer, pending);
    }

    /// Removes the request of a response; `None` for a duplicate response.
    pub fn take(
        &mut self,
        transfer: TransferId,
    ) -> Option<OutgoingTakeRequest> {
        self.requests.remove(&transfer).map(|pending| pending.ask)
    }

    /// Returns the requests that are due to be sent again, with exponential backoff.
    pub fn due_resends(
        &mut self,
        settings: &RightsSettings,
        now: Millis,
    ) -> Vec<OutgoingTakeRequest> {
        let mut requests = Vec::new();
        for pending in self.requests.values_mut() {
            let doublings = pending.resends.min(settings.max_backoff_doublings);
            if now.since(pending.sent_at) >= Millis(settings.resend_interval.0 << doublings) {
                pending.sent_at = now;
                pending.resends += 1;
                requests.push(pending.ask);
            }
        }
        requests
    }

    /// Drops the requests to other peers than these.
    pub fn keep_peers(
        &mut self,
        peers: &[Holder],
    ) {
        self.requests
            .retain(|_, pending| peers.contains(&pending.ask.to));
    }

    /// Drops the requests for an account.
    pub fn remove_account(
        &mut self,
        account: AccountId,
    ) {
        self.requests
            .retain(|_, pending| pending.ask.request.account != account);
    }

    /// Drops all requests; their ids are not reused.
    pub fn clear(&mut self) {
        self.requests.clear();
    }
}
