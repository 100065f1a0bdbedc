use {
    super::Given,
    crate::ids::{Holder, TransferId},
    std::collections::{HashMap, VecDeque},
};

/// Answers kept for each asker, so that a repeated request gets the same one.
const KEPT: usize = 64;

/// What has been given in this epoch.
///
/// A request is sent again when its answer was lost. Were it taken for a new one, the giver would
/// subtract twice; the asker applies one answer only, so the other part would be lost.
#[derive(Clone, Debug, Default)]
pub struct TransferLog {
    askers: HashMap<Holder, Asker>,
}

#[derive(Clone, Debug, Default)]
struct Asker {
    answers: VecDeque<(TransferId, Given)>,
    /// The highest transfer whose answer is no longer kept.
    forgotten: Option<TransferId>,
}

/// Whether a request for rights is new.
#[derive(Clone, Copy, Debug)]
pub enum Seen {
    /// It is new.
    No,
    /// It was answered so.
    Answered(Given),
    /// It may have been answered; the answer is no longer kept.
    Forgotten,
}

impl TransferLog {
    /// Looks a transfer up.
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

    /// Keeps an answer.
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

    /// Forgets all; transfers of an earlier epoch are refused for their epoch.
    pub fn clear(&mut self) {
        self.askers.clear();
    }
}
