use {
    super::Lane,
    std::{cmp::Reverse, collections::BTreeMap},
};

/// A waiting lane that was passed over this many times in a row goes first once.
///
/// That is 1 in 19: a class is to get at least 1 in 20, also if its queue is empty now and then.
const MAX_PASSED: u32 = 18;
/// Requests served by urgency between two that go first because their lane was passed over.
///
/// Bounds the part of all such lanes together to a quarter.
const MIN_RANKED_BETWEEN: u32 = 3;

/// Counts how often the waiting lanes of one service were passed over, so that none starves.
#[derive(Clone, Debug, Default)]
pub struct ClassTurns {
    passed: BTreeMap<Lane, u32>,
    ranked_since_turn: u32,
}

impl ClassTurns {
    /// The lanes that go first now, longest passed over first.
    pub fn due(&self) -> Vec<Lane> {
        if self.ranked_since_turn < MIN_RANKED_BETWEEN {
            return Vec::new();
        }
        let passed = self.passed.iter();
        let mut due: Vec<(Reverse<u32>, Lane)> = passed
            .filter(|&(_, &passed)| passed >= MAX_PASSED)
            .map(|(&lane, &passed)| (Reverse(passed), lane))
            .collect();
        due.sort_unstable();
        due.into_iter().map(|(_, lane)| lane).collect()
    }

    /// Records that a request of `served` left the queue to run while `waiting` had others.
    pub fn note_served<I>(
        &mut self,
        served: Lane,
        waiting: I,
    ) where
        I: Iterator<Item = Lane>,
    {
        let before = |lane| self.passed.get(&lane).copied().unwrap_or_default();
        self.ranked_since_turn = if before(served) >= MAX_PASSED {
            0
        } else {
            self.ranked_since_turn.saturating_add(1)
        };
        self.passed = waiting
            .filter(|&lane| lane != served)
            .map(|lane| (lane, before(lane).saturating_add(1)))
            .collect();
    }
}
