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
struct PeerState {
    /// Spare millitokens in its last response.
    spare: u64,
    not_before: Millis,
    last_asked: Millis,
    waiting_since: Option<Millis>,
    /// Consecutive empty responses.
    empty_responses: u32,
}

impl PeerState {
    fn can_ask(
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
            .is_some_and(|since| now.since(since) < settings.response_timeout)
    }
}

/// Selects the peers to ask for rights to one account, with backoff.
///
/// When an account is over its limit, no peer has spare tokens, and asking for each request would
/// amplify the load. Peers with empty responses are skipped for a while, and so is the whole
/// account after several consecutive empty responses.
#[derive(Clone, Debug, Default)]
pub struct PeerSelector {
    /// Indexed like the ledger's peers; empty until the first request.
    states: Vec<PeerState>,
    /// Consecutive empty responses from any peers.
    empty_responses: usize,
    not_before: Millis,
}

impl PeerSelector {
    /// Whether a peer can be asked or a response is still expected.
    pub fn is_worth_asking(
        &self,
        peers: &[Holder],
        settings: &RightsSettings,
        now: Millis,
    ) -> bool {
        let asks = now >= self.not_before;
        if self.states.is_empty() {
            return asks && !peers.is_empty();
        }
        self.states
            .iter()
            .any(|state| (asks && state.can_ask(now)) || state.is_awaited(settings, now))
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
        self.states.resize(peers.len(), PeerState::default());
        let mut candidates: Vec<(Reverse<u64>, Millis, u64, usize)> = self
            .states
            .iter()
            .enumerate()
            .filter(|(_, state)| state.can_ask(now))
            .map(|(index, state)| {
                let rank = home_rank(account, peers[index]);
                (Reverse(state.spare), state.last_asked, rank, index)
            })
            .collect();
        if candidates.len() > settings.fan_out {
            candidates.select_nth_unstable(settings.fan_out);
            candidates.truncate(settings.fan_out);
        }
        candidates.sort_unstable();
        let mut expected_spare = 0_u64;
        let mut chosen = Vec::new();
        for (Reverse(spare), _, _, index) in candidates {
            if !chosen.is_empty() && expected_spare >= needed {
                break;
            }
            expected_spare = expected_spare.saturating_add(spare);
            self.states[index].waiting_since = Some(now);
            self.states[index].last_asked = now;
            chosen.push(peers[index]);
        }
        chosen
    }

    /// Records a peer's response: whether it gave anything, and its spare millitokens.
    pub fn record_response(
        &mut self,
        peer: usize,
        useful: bool,
        spare: u64,
        settings: &RightsSettings,
        now: Millis,
    ) {
        let peers = self.states.len();
        let Some(state) = self.states.get_mut(peer) else {
            return;
        };
        state.waiting_since = None;
        state.spare = spare;
        state.empty_responses = if useful { 0 } else { state.empty_responses + 1 };
        let doublings = state.empty_responses.min(settings.max_backoff_doublings);
        state.not_before = match useful {
            true if spare > 0 => now,
            true => now + settings.backoff,
            false => now + Millis(settings.backoff.0 << doublings),
        };
        self.empty_responses = if useful { 0 } else { self.empty_responses + 1 };
        if self.empty_responses >= peers.min(settings.fan_out * settings.max_empty_rounds) {
            self.empty_responses = 0;
            self.not_before = now + settings.backoff;
        }
    }

    /// Resets all state after a change of the epoch or the peers.
    pub fn clear(&mut self) {
        self.states.clear();
        self.empty_responses = 0;
        self.not_before = Millis::ZERO;
    }
}
