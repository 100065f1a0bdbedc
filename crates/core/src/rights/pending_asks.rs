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

/// The requests for rights that wait for their answers, each of which is taken once.
#[derive(Clone, Debug, Default)]
pub struct PendingAsks {
    asks: BTreeMap<TransferId, Pending>,
    last: u64,
}

impl PendingAsks {
    /// The number of the next request; none is used twice.
    pub const fn next_transfer(&mut self) -> TransferId {
        self.last += 1;
        TransferId(self.last)
    }

    /// Notes a request that is sent now.
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

    /// Takes the request that an answer belongs to; a second answer finds none.
    pub fn take(
        &mut self,
        transfer: TransferId,
    ) -> Option<Ask> {
        self.asks.remove(&transfer).map(|pending| pending.ask)
    }

    /// Requests to be sent again; those of an unreachable peer ever more rarely.
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

    /// Forgets the requests to peers that are no longer there.
    pub fn keep_peers(
        &mut self,
        peers: &[Holder],
    ) {
        self.asks
            .retain(|_, pending| peers.contains(&pending.ask.to));
    }

    /// Forgets the requests for an account.
    pub fn remove_account(
        &mut self,
        account: AccountId,
    ) {
        self.asks
            .retain(|_, pending| pending.ask.request.account != account);
    }

    /// Forgets all requests; their numbers stay used.
    pub fn clear(&mut self) {
        self.asks.clear();
    }
}
