use {
    super::RelayPeer,
    crate::{clock::Millis, placement::rendezvous_hash},
    std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr},
};

/// Most VMs that are asked at a time whether they reach the upstreams.
const MAX_ASKED: usize = 6;
/// Most VMs that one request is offered to.
const MAX_OFFERS: usize = 3;
/// How long a VM that could not relay is passed over.
const FAILURE_PAUSE: Millis = Millis(1_000);
/// Age from which an answer no longer shows that a VM relays.
const MAX_ANSWER_AGE: Millis = Millis(3_000);

#[derive(Clone, Copy, Debug, Default)]
struct State {
    is_local: bool,
    answered_at: Option<Millis>,
    failed_at: Option<Millis>,
}

/// The VMs that may send requests for this one while it has lost its links to the upstreams.
///
/// A cut may concern most VMs of a data centre, so both local and remote VMs are asked.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    peers: BTreeMap<SocketAddr, State>,
    /// Whether no VM relayed at the end of the last turn.
    has_none: bool,
}

impl Relays {
    /// Replaces the known VMs.
    pub fn set_peers(
        &mut self,
        peers: &[RelayPeer],
    ) {
        let kept = std::mem::take(&mut self.peers);
        let state = |peer: &RelayPeer| State {
            is_local: peer.is_local,
            ..kept.get(&peer.address).copied().unwrap_or_default()
        };
        self.peers = peers
            .iter()
            .map(|peer| (peer.address, state(peer)))
            .collect();
    }

    /// Forgets that no VM relays, as the links have been lost anew.
    pub const fn restart(&mut self) {
        self.has_none = false;
    }

    /// Records whether a VM relays requests.
    pub fn note(
        &mut self,
        address: SocketAddr,
        relays: bool,
        now: Millis,
    ) {
        let Some(state) = self.peers.get_mut(&address) else {
            return;
        };
        if relays {
            state.answered_at = Some(now);
            state.failed_at = None;
            self.has_none = false;
        } else {
            state.failed_at = Some(now);
        }
    }

    /// The VMs to ask next, in turns; `round` counts the turns.
    pub fn to_ask(
        &self,
        round: u64,
    ) -> Vec<SocketAddr> {
        let (mut local, mut remote) = (self.ranked(round, true), self.ranked(round, false));
        local.truncate(MAX_ASKED / 2);
        remote.truncate(MAX_ASKED - local.len());
        local.append(&mut remote);
        local
    }

    /// Records the end of a turn in which all VMs asked have answered or failed.
    pub fn end_turn(
        &mut self,
        now: Millis,
    ) {
        self.has_none = !self.has_relay(now);
    }

    /// Whether a VM has lately said that it relays.
    pub fn has_relay(
        &self,
        now: Millis,
    ) -> bool {
        self.has_relay_of(now, |_| true)
    }

    /// Whether a VM that `is_allowed` accepts has lately said that it relays.
    pub fn has_relay_of<F>(
        &self,
        now: Millis,
        is_allowed: F,
    ) -> bool
    where
        F: Fn(SocketAddr) -> bool,
    {
        let mut peers = self.peers.iter();
        peers.any(|(&address, state)| state.is_proven(now) && is_allowed(address))
    }

    /// Whether it is known that no VM relays.
    pub const fn is_none_known(&self) -> bool {
        self.has_none
    }

    /// The VMs to offer a request to, best first: of those that `is_allowed` accepts; `salt` spreads
    /// requests over them.
    pub fn candidates<F>(
        &self,
        salt: u64,
        now: Millis,
        is_allowed: F,
    ) -> Vec<SocketAddr>
    where
        F: Fn(SocketAddr) -> bool,
    {
        let usable = self
            .peers
            .iter()
            .filter(|&(&address, state)| !state.is_paused(now) && is_allowed(address));
        let rank = |(address, state): &(&SocketAddr, &State)| {
            let order = rendezvous_hash(salt, address_hash(**address));
            (
                Reverse(state.is_proven(now)),
                Reverse(state.is_local),
                order,
            )
        };
        let mut usable: Vec<_> = usable.collect();
        usable.sort_by_key(rank);
        let best = usable.into_iter().take(MAX_OFFERS);
        best.map(|(&address, _)| address).collect()
    }

    fn ranked(
        &self,
        round: u64,
        is_local: bool,
    ) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let matching = peers.filter(|(_, state)| state.is_local == is_local);
        let mut matching: Vec<SocketAddr> = matching.map(|(&address, _)| address).collect();
        matching.sort_by_key(|&address| rendezvous_hash(round, address_hash(address)));
        matching
    }
}

impl State {
    fn is_proven(
        &self,
        now: Millis,
    ) -> bool {
        let is_recent = |at: Millis| now.since(at) < MAX_ANSWER_AGE;
        self.answered_at.is_some_and(is_recent) && !self.is_paused(now)
    }

    fn is_paused(
        &self,
        now: Millis,
    ) -> bool {
        self.failed_at
            .is_some_and(|at| now.since(at) < FAILURE_PAUSE)
    }
}

fn address_hash(address: SocketAddr) -> u64 {
    let ip = match address {
        SocketAddr::V4(address) => u64::from(u32::from(*address.ip())),
        SocketAddr::V6(address) => u128::from(*address.ip()) as u64,
    };
    (ip << 16) | u64::from(address.port())
}
