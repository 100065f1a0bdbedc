use {
    super::TakeResponse,
    crate::ids::{Holder, TransferId},
    std::collections::{HashMap, VecDeque},
};

/// Limits the responses kept for each peer that requests rights.
const MAX_RESPONSES_PER_REQUESTER: usize = 64;

/// Responses to transfer requests in this epoch, to deduplicate resent requests.
///
/// Handling a resent request as new would subtract rights (shares of an account's rate limit)
/// twice, while the requester applies only one response.
#[derive(Clone, Debug, Default)]
pub struct TransferLog {
    requesters: HashMap<Holder, Requester>,
}

#[derive(Clone, Debug, Default)]
struct Requester {
    responses: VecDeque<(TransferId, TakeResponse)>,
    /// The highest transfer whose response was evicted.
    last_evicted: Option<TransferId>,
}

/// Whether a request was handled before.
#[derive(Clone, Copy, Debug)]
pub enum LookUp {
    /// No response is stored, and none was evicted that could be this one.
    New,
    /// The request was handled with this response.
    Handled(TakeResponse),
    /// The request may have been handled; its response was evicted.
    Evicted,
}

impl TransferLog {
    /// Looks up the response to a transfer.
    pub fn look_up(
        &self,
        from: Holder,
        transfer: TransferId,
    ) -> LookUp {
        let Some(requester) = self.requesters.get(&from) else {
            return LookUp::New;
        };
        let kept = requester.responses.iter().find(|(id, _)| *id == transfer);
        match (kept, requester.last_evicted) {
            (Some(&(_, given)), _) => LookUp::Handled(given),
            (None, Some(last_evicted)) if transfer <= last_evicted => LookUp::Evicted,
            (None, _) => LookUp::New,
        }
    }

    /// Stores a response, evicting the oldest of the requester if there are too many.
    pub fn store(
        &mut self,
        from: Holder,
        transfer: TransferId,
        given: TakeResponse,
    ) {
        let requester = self.requesters.entry(from).or_default();
        requester.responses.push_back((transfer, given));
        if requester.responses.len() > MAX_RESPONSES_PER_REQUESTER {
            let oldest = requester.responses.pop_front().map(|(id, _)| id);
            requester.last_evicted = requester.last_evicted.max(oldest);
        }
    }

    /// Drops all responses; requests of earlier epochs are rejected by their epoch.
    pub fn clear(&mut self) {
        self.requesters.clear();
    }
}
