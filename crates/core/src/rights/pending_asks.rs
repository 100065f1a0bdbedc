use {
    super::{Ask, RightsSettings},
    crate::{
        clock::Millis,
        ids::{AccountId, Holder, TransferId},
    },
    std::collections::BTreeMap,
};

/// A request for rights that has not been answered.
#[derive(Clone, Copy, Debug)]
struct Pending {
    ask: Ask,
    sent: Millis,
    tries: u32,
}

/// Unanswered requests for rights; each response is accepted once.
#[derive(Clone, Debug, Default)]
pub struct PendingAsks {
    asks: BTreeMap<TransferId, Pending>,
    last: u64,
}

impl PendingAsks {
    /// Returns a new transfer id; ids are never reused.
    pub const fn next_transfer(&mut self) -> TransferId {
        self.last += 1;
        TransferId(self.last)
    }

    /// Adds a request that is sent at `now`.
    pub fn add(
        &mut self,
        ask: Ask,
        now: Millis,
    ) {
        let pending = Pending {
            ask,
            sent: now,
            tries: 0,
        };
        self.asks.insert(ask.request.transfer, pending);
    }

    /// Removes the request of a response; `None` for a duplicate response.
    pub fn take(
        &mut self,
        transfer: TransferId,
    ) -> Option<Ask> {
        self.asks.remove(&transfer).map(|pending| pending.ask)
    }

    /// Returns the requests that are due to be sent again, with exponential backoff.
    pub fn unanswered(
        &mut self,
        settings: &RightsSettings,
        now: Millis,
    ) -> Vec<Ask> {
        let mut asks = Vec::new();
        for pending in self.asks.values_mut() {
            let doublings = pending.tries.min(settings.max_doublings);
            if now.since(pending.sent) >= Millis(settings.resend.0 << doublings) {
                pending.sent = now;
                pending.tries += 1;
                asks.push(pending.ask);
            }
        }
        asks
    }

    /// Drops the requests to other peers than these.
    pub fn keep_peers(
        &mut self,
        peers: &[Holder],
    ) {
        self.asks
            .retain(|_, pending| peers.contains(&pending.ask.to));
    }

    /// Drops the requests for an account.
    pub fn remove_account(
        &mut self,
        account: AccountId,
    ) {
        self.asks
            .retain(|_, pending| pending.ask.request.account != account);
    }

    /// Drops all requests; their ids are not reused.
    pub fn clear(&mut self) {
        self.asks.clear();
    }
}
