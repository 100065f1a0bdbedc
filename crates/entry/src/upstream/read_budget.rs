use {
    bytes::Bytes,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Most bytes of answers that are buffered at once.
const MAX_TOTAL: usize = 32 << 20;
/// Most bytes that are buffered of one peer's answers: the largest answer, and a half of all.
const MAX_OF_PEER: usize = 16 << 20;
/// Bytes of each exchange that count as none, so that short answers are read whatever other peers send.
const UNCHARGED: usize = 8 << 10;

/// The bound over all that is buffered of the answers of peers, or of the requests of callers.
///
/// Clones share it. The counters are shared among threads, as the owner of [`Bytes`] may be sent to another one.
#[derive(Clone, Debug)]
pub struct ReadBudget {
    max_total: usize,
    max_of_peer: usize,
    used: Arc<Mutex<Used>>,
}

#[derive(Debug, Default)]
struct Used {
    total: usize,
    by_peer: HashMap<SocketAddr, usize>,
}

impl Default for ReadBudget {
    /// The budget for answers, partial events and heads of answers.
    fn default() -> Self {
        Self::new(MAX_TOTAL, MAX_OF_PEER)
    }
}

impl ReadBudget {
    /// Creates a budget for so many bytes in total, and of one peer.
    pub fn new(
        max_total: usize,
        max_of_peer: usize,
    ) -> Self {
        Self {
            max_total,
            max_of_peer,
            used: Arc::default(),
        }
    }

    /// Replaces a charge; returns false, and leaves it, if the new one exceeds a bound.
    fn replace(
        &self,
        peer: SocketAddr,
        old: usize,
        new: usize,
    ) -> bool {
        let mut used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        let total = used.total - old + new;
        let of_peer = used.by_peer.get(&peer).copied().unwrap_or_default() - old + new;
        if new > old && (total > self.max_total || of_peer > self.max_of_peer) {
            return false;
        }
        used.total = total;
        match of_peer {
            0 => used.by_peer.remove(&peer),
            _ => used.by_peer.insert(peer, of_peer),
        };
        true
    }

    /// The charge of an exchange with this peer, for no bytes yet.
    pub fn charge(
        &self,
        peer: SocketAddr,
    ) -> ReadCharge {
        ReadCharge {
            budget: self.clone(),
            peer,
            charged: 0,
        }
    }
}

/// What one buffer takes of a [`ReadBudget`], until it is dropped.
#[derive(Debug)]
pub struct ReadCharge {
    budget: ReadBudget,
    peer: SocketAddr,
    charged: usize,
}

impl ReadCharge {
    /// Charges for a buffer of this length in place of the one before; returns false if the budget doesn't allow it.
    pub fn cover(
        &mut self,
        len: usize,
    ) -> bool {
        let new = len.saturating_sub(UNCHARGED);
        let is_covered = new == self.charged || self.budget.replace(self.peer, self.charged, new);
        if is_covered {
            self.charged = new;
        }
        is_covered
    }

    /// Keeps the charge for as long as anything refers to `bytes`.
    pub fn attach(
        self,
        bytes: Bytes,
    ) -> Bytes {
        match self.charged {
            0 => bytes,
            _ => Bytes::from_owner(ChargedBytes {
                bytes,
                _charge: self,
            }),
        }
    }
}

impl Drop for ReadCharge {
    fn drop(&mut self) {
        self.cover(0);
    }
}

struct ChargedBytes {
    bytes: Bytes,
    _charge: ReadCharge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
