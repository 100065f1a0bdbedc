use {
    super::{RightsSettings, home_rank},
    crate::{
        clock::Millis,
        ids::{AccountId, Holder},
    },
    std::cmp::Reverse,
};

/// What is known about one peer, for one account.
#[derive(Clone, Copy, Debug, Default)]
struct Hint {
    /// Spare millitokens in its last response.
    spare: u64,
    not_before: Millis,
    asked: Millis,
    waiting_since: Option<Millis>,
    /// Consecutive empty responses.
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

/// Selects the peers to ask for rights to one account, with backoff.
///
/// When an account is over its limit, no peer has spare tokens, and asking for each request would
/// amplify the load. Peers with empty responses are skipped for a while, and so is the whole account
/// after several consecutive empty responses.
#[derive(Clone, Debug, Default)]
pub struct PeerHints {
    /// Indexed like the ledger's peers; empty until the first request.
    hints: Vec<Hint>,
    /// Consecutive empty responses from any peers.
    empty: usize,
    not_before: Millis,
}

impl PeerHints {
    /// Whether a peer can be asked or a response is still expected.
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

    /// Chooses peers by spare tokens, then by the time they were last asked, then by home rank.
    ///
    /// Stops when the last reported spare tokens of the chosen peers cover `needed`.
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

    /// Records a peer's response: whether it gave anything, and its spare millitokens.
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

    /// Resets all state after a change of the epoch or the peers.
    pub fn clear(&mut self) {
        self.hints.clear();
        self.empty = 0;
        self.not_before = Millis::ZERO;
    }
}
