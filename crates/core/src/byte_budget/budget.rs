use {
    super::{
        ByteLimits,
        byte_claim::{ByteClaim, ByteUse, Pool},
    },
    crate::clock::Millis,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
    },
};

/// Most claims that wait; further ones are refused.
const MAX_WAITING: usize = 4_096;

/// Identifies a claim that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteTicket(u64);

/// The decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The bytes are held until they are released.
    Held,
    /// They are held once earlier ones are released.
    Waits(ByteTicket),
    /// They are not held.
    Denied(Denial),
}

/// Why a claim is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// There is no room, and too many claims wait or the time of this one is over.
    Full,
    /// It exceeds what one exchange may hold.
    TooLarge,
}

/// What a budget holds, for logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetState {
    /// Bytes of long request bodies.
    pub requests: u64,
    /// Bytes of long answers, with what is read ahead.
    pub answers: u64,
    /// Bytes of what is short.
    pub small: u64,
    /// Claims that wait.
    pub waiting: usize,
    /// How long the first of them has waited.
    pub oldest_wait: Millis,
}

/// The bytes that a VM holds for its exchanges, and the claims that wait for some.
///
/// A claim is for all that its exchange needs: exchanges that hold parts and wait for the rest could block each other.
/// Claims are served in order within each of the budget's parts; one whose upstream has used up its part of the answers
/// is passed over.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    limits: ByteLimits,
    requests: u64,
    answers: u64,
    small: u64,
    read_ahead: u64,
    /// Long answers by upstream.
    by_upstream: HashMap<SocketAddr, u64>,
    waiting: BTreeMap<ByteTicket, Waiting>,
    next_ticket: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    claim: ByteClaim,
    since: Millis,
}

impl ByteBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(limits: ByteLimits) -> Self {
        Self {
            limits,
            requests: 0,
            answers: 0,
            small: 0,
            read_ahead: 0,
            by_upstream: HashMap::new(),
            waiting: BTreeMap::new(),
            next_ticket: 0,
        }
    }

    /// The limits in force.
    pub const fn limits(&self) -> ByteLimits {
        self.limits
    }

    /// Holds bytes, or puts the claim behind those that wait for the same part.
    pub fn claim(
        &mut self,
        claim: ByteClaim,
        now: Millis,
    ) -> Grant {
        if !self.can_ever_fit(claim) {
            return Grant::Denied(Denial::TooLarge);
        }
        let is_first = !self.waiting.values().any(|other| goes_before(other, claim));
        if is_first && self.fits(claim) {
            self.hold(claim);
            return Grant::Held;
        }
        if self.waiting.len() >= MAX_WAITING {
            return Grant::Denied(Denial::Full);
        }
        let ticket = ByteTicket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, Waiting { claim, since: now });
        Grant::Waits(ticket)
    }

    /// Holds bytes if they fit now and no claim waits for the same part.
    pub fn try_claim(
        &mut self,
        claim: ByteClaim,
    ) -> bool {
        let is_held = self.can_ever_fit(claim)
            && !self.waiting.values().any(|other| goes_before(other, claim))
            && self.fits(claim);
        if is_held {
            self.hold(claim);
        }
        is_held
    }

    /// Releases held bytes; returns the claims that are held now.
    pub fn release(
        &mut self,
        claim: ByteClaim,
    ) -> Vec<ByteTicket> {
        let ByteClaim { use_, bytes } = claim;
        let held = match claim.pool() {
            Pool::Requests => &mut self.requests,
            Pool::Answers => &mut self.answers,
            Pool::Small => &mut self.small,
        };
        *held = held.saturating_sub(bytes);
        match use_ {
            ByteUse::ReadAhead => self.read_ahead = self.read_ahead.saturating_sub(bytes),
            ByteUse::Answer(upstream) if claim.pool() == Pool::Answers => {
                let left = self.of_upstream(upstream).saturating_sub(bytes);
                match left {
                    0 => self.by_upstream.remove(&upstream),
                    _ => self.by_upstream.insert(upstream, left),
                };
            }
            ByteUse::Request | ByteUse::Answer(_) => {}
        }
        self.admit_waiting()
    }

    /// Removes a claim that waits; returns those that are held now, as it went before them.
    pub fn withdraw(
        &mut self,
        ticket: ByteTicket,
    ) -> Vec<ByteTicket> {
        match self.waiting.remove(&ticket) {
            Some(_) => self.admit_waiting(),
            None => Vec::new(),
        }
    }

    /// What is held and waits.
    pub fn state(
        &self,
        now: Millis,
    ) -> BudgetState {
        let oldest = self.waiting.values().next();
        BudgetState {
            requests: self.requests,
            answers: self.answers,
            small: self.small,
            waiting: self.waiting.len(),
            oldest_wait: oldest.map_or(Millis::ZERO, |oldest| now.since(oldest.since)),
        }
    }

    fn admit_waiting(&mut self) -> Vec<ByteTicket> {
        let mut admitted = Vec::new();
        let mut full_pools: Vec<Pool> = Vec::new();
        let mut full_upstreams: HashSet<SocketAddr> = HashSet::new();
        let waiting: Vec<_> = self
            .waiting
            .iter()
            .map(|(&id, one)| (id, one.claim))
            .collect();
        for (ticket, claim) in waiting {
            let pool = claim.pool();
            let upstream = upstream_of(claim);
            if full_pools.contains(&pool) || upstream.is_some_and(|it| full_upstreams.contains(&it))
            {
                continue;
            }
            if self.fits(claim) {
                self.waiting.remove(&ticket);
                self.hold(claim);
                admitted.push(ticket);
            } else if let Some(upstream) = upstream.filter(|_| !self.fits_upstream(claim)) {
                full_upstreams.insert(upstream);
            } else {
                full_pools.push(pool);
            }
        }
        admitted
    }

    const fn can_ever_fit(
        &self,
        claim: ByteClaim,
    ) -> bool {
        let max = match claim.pool() {
            Pool::Requests => self.limits.requests,
            Pool::Answers => self.limits.part,
            Pool::Small => self.limits.small,
        };
        claim.bytes <= max && claim.bytes <= self.limits.exchange
    }

    fn fits(
        &self,
        claim: ByteClaim,
    ) -> bool {
        let ByteClaim { use_, bytes } = claim;
        let limits = &self.limits;
        match (claim.pool(), use_) {
            (Pool::Requests, _) => self.requests + bytes <= limits.requests,
            (Pool::Small, _) => self.small + bytes <= limits.small,
            (Pool::Answers, ByteUse::ReadAhead) => {
                self.answers + bytes <= limits.answers && self.read_ahead + bytes <= limits.part
            }
            (Pool::Answers, _) => {
                self.answers + bytes <= limits.answers && self.fits_upstream(claim)
            }
        }
    }

    /// Whether a claim fits into the part of its upstream.
    fn fits_upstream(
        &self,
        claim: ByteClaim,
    ) -> bool {
        upstream_of(claim)
            .is_none_or(|upstream| self.of_upstream(upstream) + claim.bytes <= self.limits.part)
    }

    fn of_upstream(
        &self,
        upstream: SocketAddr,
    ) -> u64 {
        self.by_upstream.get(&upstream).copied().unwrap_or_default()
    }

    fn hold(
        &mut self,
        claim: ByteClaim,
    ) {
        let ByteClaim { use_, bytes } = claim;
        match claim.pool() {
            Pool::Requests => self.requests += bytes,
            Pool::Answers => self.answers += bytes,
            Pool::Small => self.small += bytes,
        }
        match upstream_of(claim) {
            Some(upstream) => *self.by_upstream.entry(upstream).or_default() += bytes,
            None if use_ == ByteUse::ReadAhead => self.read_ahead += bytes,
            None => {}
        }
    }
}

/// The upstream in whose part of the answers a claim counts.
fn upstream_of(claim: ByteClaim) -> Option<SocketAddr> {
    match (claim.pool(), claim.use_) {
        (Pool::Answers, ByteUse::Answer(upstream)) => Some(upstream),
        _ => None,
    }
}

/// Whether a claim that waits goes before a new one.
fn goes_before(
    waiting: &Waiting,
    new: ByteClaim,
) -> bool {
    waiting.claim.pool() == new.pool()
        && match (upstream_of(waiting.claim), upstream_of(new)) {
            (Some(a), Some(b)) => a == b,
            _ => true,
        }
}
