use {
    super::TakeResponse,
    crate::ids::{Holder, TransferId},
    std::collections::{HashMap, VecDeque},
};

/// Responses kept per asker for resent requests.
const MAX_RESPONSES_PER_ASKER: usize = 64;

/// Responses of this epoch, to deduplicate resent requests.
///
/// Handling a resent request as new would subtract rights twice, while the asker applies only one
/// response.
#[derive(Clone, Debug, Default)]
pub struct TransferLog {
    askers: HashMap<Holder, Asker>,
}

#[derive(Clone, Debug, Default)]
struct Asker {
    responses: VecDeque<(TransferId, TakeResponse)>,
    /// The highest transfer whose response was evicted.
    last_evicted: Option<TransferId>,
}

/// Whether a request was handled before.
#[derive(Clone, Copy, Debug)]
pub enum LookUp {
    /// The request is new.
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
        let Some(asker) = self.askers.get(&from) else {
            return LookUp::New;
        };
        let kept = asker.responses.iter().find(|(id, _)| *id == transfer);
        match (kept, asker.last_evicted) {
            (Some(&(_, given)), _) => LookUp::Handled(given),
            (None, Some(last_evicted)) if transfer <= last_evicted => LookUp::Evicted,
            (None, _) => LookUp::New,
        }
    }

    /// Stores a response, evicting the oldest of the asker if there are too many.
    pub fn store(
        &mut self,
        from: Holder,
        transfer: TransferId,
        given: TakeResponse,
    ) {
        let asker = self.askers.entry(from).or_default();
        asker.responses.push_back((transfer, given));
        if asker.responses.len() > MAX_RESPONSES_PER_ASKER {
            let oldest = asker.responses.pop_front().map(|(id, _)| id);
            asker.last_evicted = asker.last_evicted.max(oldest);
        }
    }

    /// Drops all responses; requests of earlier epochs are rejected by their epoch.
    pub fn clear(&mut self) {
        self.askers.clear();
    }
}
