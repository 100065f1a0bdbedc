use {
    crate::{clock::Millis, ids::PartId},
    std::{cmp::Reverse, collections::HashMap},
};

/// How long a prompt that waits counts, after it was last looked at.
const WAITING_TIME: Millis = Millis(500);

/// How little suspect the other parts of a prompt are: the least suspect is the greatest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TrialRank {
    /// Most crashes under one of them and no other prompt: these have no other explanation.
    pub sole_crashes: Reverse<usize>,
    /// Most crashes that accuse one of them.
    pub accusations: Reverse<usize>,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    best: TrialRank,
    best_at: Millis,
}

/// Which of the prompts with a part on trial goes next: the one whose answer shows most about the part.
#[derive(Clone, Debug, Default)]
pub(super) struct TrialOrder {
    by_part: HashMap<PartId, Waiting>,
}

impl TrialOrder {
    /// Records that a prompt with a part on trial waits; returns whether no better one does.
    pub(super) fn is_first(
        &mut self,
        part: PartId,
        rank: TrialRank,
        now: Millis,
    ) -> bool {
        let waiting = self.by_part.entry(part).or_insert(Waiting {
            best: rank,
            best_at: now,
        });
        if rank >= waiting.best || now.since(waiting.best_at) >= WAITING_TIME {
            waiting.best = rank;
            waiting.best_at = now;
        }
        rank >= waiting.best
    }

    /// Forgets parts that aren't on trial any more.
    pub(super) fn retain<F>(
        &mut self,
        is_on_trial: F,
    ) where
        F: Fn(PartId) -> bool,
    {
        self.by_part.retain(|&part, _| is_on_trial(part));
    }
}
