use {
    super::{RightsSettings, home_rank},
    crate::{
        clock::Millis,
        ids::{AccountId, Holder},
    },
    std::cmp::Reverse,
};

/// What one holder knows of a peer's rights to one account.
#[derive(Clone, Copy, Debug, Default)]
struct Hint {
    /// Thousandths of a token that it could spare when it answered last.
    spare: u64,
    not_before: Millis,
    asked: Millis,
    waiting_since: Option<Millis>,
    /// Answers in a row that brought nothing.
    empty: u32,
}

impl Hint {
    fn may_ask(
        &self,
        now: Millis,
    ) -> bool {
        self.waiting_since.is_none() && now >= self.not_before
    }

    fn is_awaited(
        &self,
        settings: &RightsSettings,
        now: Millis,
    ) -> bool {
        self.waiting_since
            .is_some_and(|since| now.since(since) < settings.answer_wait)
    }
}

/// Whom to ask for rights to one account, and when not to.
///
/// While an account is over its limit nobody has anything to spare. Asking all the same at each
/// request would multiply a caller's excess by the number of VMs, so peers with nothing are left
/// alone for a while, and the account as a whole after a row of empty answers.
#[derive(Clone, Debug, Default)]
pub struct PeerHints {
    /// One for each of the ledger's peers, in their order; empty until one is asked.
    hints: Vec<Hint>,
    /// Answers in a row, from whomever, that brought nothing.
    empty: usize,
    not_before: Millis,
}

impl PeerHints {
    /// Whether there is somebody to ask, or an answer that is worth waiting for.
    pub fn is_worth_asking(
        &self,
        peers: &[Holder],
        settings: &RightsSettings,
        now: Millis,
    ) -> bool {
        let asks = now >= self.not_before;
        if self.hints.is_empty() {
            return asks && !peers.is_empty();
        }
        self.hints
            .iter()
            .any(|hint| (asks && hint.may_ask(now)) || hint.is_awaited(settings, now))
    }

    /// Chooses peers: those with the most to spare, then the others in turn, the account's homes
    /// first.
    ///
    /// No more are chosen than have, by their last word, what is needed.
    pub fn choose(
        &mut self,
        account: AccountId,
        needed: u64,
        peers: &[Holder],
        settings: &RightsSettings,
        now: Millis,
    ) -> Vec<Holder> {
        if now < self.not_before || peers.is_empty() {
            return Vec::new();
        }
        self.hints.resize(peers.len(), Hint::default());
        let mut candidates: Vec<(Reverse<u64>, Millis, u64, usize)> = self
            .hints
            .iter()
            .enumerate()
            .filter(|(_, hint)| hint.may_ask(now))
            .map(|(index, hint)| {
                let rank = home_rank(account, peers[index]);
                (Reverse(hint.spare), hint.asked, rank, index)
            })
            .collect();
        if candidates.len() > settings.fan_out {
            candidates.select_nth_unstable(settings.fan_out);
            candidates.truncate(settings.fan_out);
        }
        candidates.sort_unstable();
        let mut promised = 0_u64;
        let mut chosen = Vec::new();
        for (Reverse(spare), _, _, index) in candidates {
            if !chosen.is_empty() && promised >= needed {
                break;
            }
            promised = promised.saturating_add(spare);
            self.hints[index].waiting_since = Some(now);
            self.hints[index].asked = now;
            chosen.push(peers[index]);
        }
        chosen
    }

    /// Notes a peer's answer: whether it gave something, and what it could still spare.
    pub fn note_answer(
        &mut self,
        peer: usize,
        useful: bool,
        spare: u64,
        settings: &RightsSettings,
        now: Millis,
    ) {
        let peers = self.hints.len();
        let Some(hint) = self.hints.get_mut(peer) else {
            return;
        };
        hint.waiting_since = None;
        hint.spare = spare;
        hint.empty = if useful { 0 } else { hint.empty + 1 };
        let doublings = hint.empty.min(settings.max_doublings);
        hint.not_before = match useful {
            true if spare > 0 => now,
            true => now + settings.back_off,
            false => now + Millis(settings.back_off.0 << doublings),
        };
        self.empty = if useful { 0 } else { self.empty + 1 };
        if self.empty >= peers.min(settings.fan_out * settings.rounds) {
            self.empty = 0;
            self.not_before = now + settings.back_off;
        }
    }

    /// Forgets what was asked before a change of epoch or of peers.
    pub fn clear(&mut self) {
        self.hints.clear();
        self.empty = 0;
        self.not_before = Millis::ZERO;
    }
}
