use {
    super::Given,
    crate::ids::{Holder, TransferId},
    std::collections::{HashMap, VecDeque},
};

/// Responses kept per asker for resent requests.
const KEPT: usize = 64;

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
    answers: VecDeque<(TransferId, Given)>,
    /// The highest transfer whose response was evicted.
    forgotten: Option<TransferId>,
}

/// Whether a request was handled before.
#[derive(Clone, Copy, Debug)]
pub enum Seen {
    /// The request is new.
    No,
    /// The request was handled with this response.
    Answered(Given),
    /// The request may have been handled; its response was evicted.
    Forgotten,
}

impl TransferLog {
    /// Looks up the response to a transfer.
    pub fn look_up(
        &self,
        from: Holder,
        transfer: TransferId,
    ) -> Seen {
        let Some(asker) = self.askers.get(&from) else {
            return Seen::No;
        };
        let kept = asker.answers.iter().find(|(id, _)| *id == transfer);
        match (kept, asker.forgotten) {
            (Some(&(_, given)), _) => Seen::Answered(given),
            (None, Some(forgotten)) if transfer <= forgotten => Seen::Forgotten,
            (None, _) => Seen::No,
        }
    }

    /// Stores a response, evicting the oldest of the asker if there are too many.
    pub fn keep(
        &mut self,
        from: Holder,
        transfer: TransferId,
        given: Given,
    ) {
        let asker = self.askers.entry(from).or_default();
        asker.answers.push_back((transfer, given));
        if asker.answers.len() > KEPT {
            let oldest = asker.answers.pop_front().map(|(id, _)| id);
            asker.forgotten = asker.forgotten.max(oldest);
        }
    }

    /// Drops all responses; requests of earlier epochs are rejected by their epoch.
    pub fn clear(&mut self) {
        self.askers.clear();
    }
}
