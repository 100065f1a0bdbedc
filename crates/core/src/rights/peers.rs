use {
    super::{RightsSettings, home_rank},
    crate::{
        clock::Millis,
        ids::{AccountId, Holder},
    },
    std::{cmp::Reverse, collections::HashMap},
};

/// What one holder knows of a peer's rights to one account.
#[derive(Clone, Copy, Debug, Default)]
struct Hint {
    /// Thousandths of a token that it could spare when it answered last.
    spare: u64,
    not_before: Millis,
    /// Answers in a row that brought nothing.
    empty: u32,
    asked: Millis,
    waiting_since: Option<Millis>,
}

/// Whom to ask for rights to one account, and when not to.
///
/// While an account is over its limit nobody has anything to spare. Asking all the same at each
/// request would multiply a caller's excess by the number of VMs, so peers with nothing are left
/// alone for a while, and the account as a whole after a row of empty answers.
#[derive(Clone, Debug, Default)]
pub struct PeerHints {
    hints: HashMap<Holder, Hint>,
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
        let awaited = |hint: &Hint| {
            hint.waiting_since
                .is_some_and(|since| now.since(since) < settings.answer_wait)
        };
        self.hints.values().any(awaited)
            || (now >= self.not_before && peers.iter().any(|&peer| self.may_ask(peer, now)))
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
        if now < self.not_before {
            return Vec::new();
        }
        let mut candidates: Vec<(Reverse<u64>, Millis, u64, Holder)> = peers
            .iter()
            .filter(|&&peer| self.may_ask(peer, now))
            .map(|&peer| {
                let hint = self.hints.get(&peer).copied().unwrap_or_default();
                (
                    Reverse(hint.spare),
                    hint.asked,
                    home_rank(account, peer),
                    peer,
                )
            })
            .collect();
        candidates.sort_unstable();
        let mut promised = 0_u64;
        let mut chosen = Vec::new();
        for (Reverse(spare), _, _, peer) in candidates.into_iter().take(settings.fan_out) {
            if !chosen.is_empty() && promised >= needed {
                break;
            }
            promised = promised.saturating_add(spare);
            let hint = self.hints.entry(peer).or_default();
            hint.waiting_since = Some(now);
            hint.asked = now;
            chosen.push(peer);
        }
        chosen
    }

    /// Notes a peer's answer.
    pub fn note_answer(
        &mut self,
        peer: Holder,
        useful: bool,
        spare: u64,
        peers: usize,
        settings: &RightsSettings,
        now: Millis,
    ) {
        let hint = self.hints.entry(peer).or_default();
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

    fn may_ask(
        &self,
        peer: Holder,
        now: Millis,
    ) -> bool {
        self.hints
            .get(&peer)
            .is_none_or(|hint| hint.waiting_since.is_none() && now >= hint.not_before)
    }
}
