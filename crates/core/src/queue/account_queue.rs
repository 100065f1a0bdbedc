use {
    super::{
        AccountShare, QueueTarget, QueuedRequest,
        pool::{Backlog, Pool, Pools},
    },
    crate::{IdMap, clock::Millis},
    std::{collections::BTreeMap, iter, ops::Bound},
};

/// Sort key within an account's queue: arrival time plus priority delay, then arrival order.
pub type Position = (Millis, u64);

/// The first request of each target, and how far a scan has looked at them.
#[derive(Clone, Debug, Default)]
struct Heads {
    by_position: BTreeMap<Position, QueuedRequest>,
    /// The number of the last scan, and the last position that it has looked at.
    scanned: Option<(u64, Position)>,
}

impl Heads {
    /// Those that a scan has not looked at, in order.
    fn unscanned(
        &self,
        scan: u64,
    ) -> impl Iterator<Item = (&Position, &QueuedRequest)> {
        let scanned = self.scanned.filter(|&(last, _)| last == scan);
        let from = scanned.map_or(Bound::Unbounded, |(_, position)| Bound::Excluded(position));
        self.by_position.range((from, Bound::Unbounded))
    }
}

/// The waiting requests of one client account, grouped by target.
///
/// Only the first request of each target is considered, so requests of a blocked target neither
/// block the others nor have to be scanned.
#[derive(Clone, Debug, Default)]
pub struct AccountQueue {
    /// Weight and queue limit.
    pub share: AccountShare,
    /// Virtual counter: served cost divided by weight, in thousandths of a token.
    pub counter: u64,
    by_target: IdMap<QueueTarget, BTreeMap<Position, QueuedRequest>>,
    /// The first request of each target of an engine.
    engine_heads: Heads,
    /// The first request of each target of a plain service.
    service_heads: Heads,
    backlogs: BTreeMap<Pool, Backlog>,
    len: usize,
}

impl AccountQueue {
    /// Number of waiting requests.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// The effective weight, at least 1.
    pub fn weight(&self) -> u64 {
        u64::from(self.share.weight.max(1))
    }

    /// Whether no request is waiting.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    pub fn insert(
        &mut self,
        position: Position,
        waiting: QueuedRequest,
    ) {
        let queue = self.by_target.entry(waiting.target).or_default();
        let head = queue.first_key_value().map(|(&head, _)| head);
        queue.insert(position, waiting);
        let heads = self.heads_mut(Pool::for_target(waiting.target));
        match head {
            Some(head) if head < position => (),
            Some(head) => {
                heads.by_position.remove(&head);
                heads.by_position.insert(position, waiting);
            }
            None => {
                heads.by_position.insert(position, waiting);
            }
        }
        self.len += 1;
        let backlog = self
            .backlogs
            .entry(Pool::for_target(waiting.target))
            .or_default();
        backlog.add(waiting.priority, waiting.cost);
    }

    /// Removes a request.
    pub fn remove(
        &mut self,
        position: Position,
        target: QueueTarget,
    ) -> Option<QueuedRequest> {
        let queue = self.by_target.get_mut(&target)?;
        let waiting = queue.remove(&position)?;
        let next = queue.first_key_value().map(|(&next, &head)| (next, head));
        let heads = self.heads_mut(Pool::for_target(target));
        if heads.by_position.remove(&position).is_some() {
            if let Some((next, head)) = next {
                heads.by_position.insert(next, head);
            } else {
                self.by_target.remove(&target);
            }
        }
        self.len -= 1;
        if let Some(backlog) = self.backlogs.get_mut(&Pool::for_target(target)) {
            backlog.remove(waiting.priority, waiting.cost);
        }
        Some(waiting)
    }

    /// Finds the first request of these pools that can run and that a scan has not looked at.
    pub fn next_runnable<F>(
        &mut self,
        scan: u64,
        pools: Pools,
        can_run: &mut F,
    ) -> Option<(Position, QueueTarget)>
    where
        F: FnMut(&QueuedRequest) -> bool,
    {
        let engines = pools
            .has_engines()
            .then(|| self.engine_heads.unscanned(scan));
        let services = pools
            .has_services()
            .then(|| self.service_heads.unscanned(scan));
        let mut last = None;
        let found = in_order(
            engines.into_iter().flatten(),
            services.into_iter().flatten(),
        )
        .inspect(|&(&position, _)| last = Some((scan, position)))
        .find(|&(_, waiting)| can_run(waiting))
        .map(|(&position, waiting)| (position, waiting.target));
        if last.is_some() && pools.has_engines() {
            self.engine_heads.scanned = last;
        }
        if last.is_some() && pools.has_services() {
            self.service_heads.scanned = last;
        }
        found
    }

    const fn heads_mut(
        &mut self,
        pool: Pool,
    ) -> &mut Heads {
        match pool {
            Pool::Engines => &mut self.engine_heads,
            Pool::Service(_) => &mut self.service_heads,
        }
    }

    /// The waiting requests of a pool.
    pub fn backlog(
        &self,
        pool: Pool,
    ) -> Backlog {
        self.backlogs.get(&pool).copied().unwrap_or_default()
    }

    /// All waiting requests in service order.
    pub fn in_order(&self) -> Vec<QueuedRequest> {
        let mut all: Vec<(Position, QueuedRequest)> = self
            .by_target
            .values()
            .flatten()
            .map(|(&position, &waiting)| (position, waiting))
            .collect();
        all.sort_unstable_by_key(|&(position, _)| position);
        all.into_iter().map(|(_, waiting)| waiting).collect()
    }
}

/// Merges two sequences that are in order each.
fn in_order<'a>(
    first: impl Iterator<Item = (&'a Position, &'a QueuedRequest)>,
    second: impl Iterator<Item = (&'a Position, &'a QueuedRequest)>,
) -> impl Iterator<Item = (&'a Position, &'a QueuedRequest)> {
    let (mut first, mut second) = (first.peekable(), second.peekable());
    iter::from_fn(move || match (first.peek(), second.peek()) {
        (Some((head, _)), Some((other, _))) if other < head => second.next(),
        (Some(_), _) => first.next(),
        (None, _) => second.next(),
    })
}
