use {
    super::{
        AccountShare, QueueTarget, QueuedRequest,
        pool::{Backlog, Pool, PoolKind},
    },
    crate::{IdMap, clock::Millis},
    std::{collections::BTreeMap, ops::Bound},
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
        let heads = self.heads_mut(Pool::for_target(waiting.target).kind());
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
        let heads = self.heads_mut(Pool::for_target(target).kind());
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

    /// Finds the first request that can run.
    pub fn first_runnable<F>(
        &self,
        can_run: &mut F,
    ) -> Option<(Position, QueueTarget)>
    where
        F: FnMut(&QueuedRequest) -> bool,
    {
        let engines = self.engine_heads.by_position.iter();
        let services = self.service_heads.by_position.iter();
        let mut heads: Vec<_> = engines.chain(services).collect();
        heads.sort_unstable_by_key(|&(position, _)| position);
        heads
            .into_iter()
            .find(|&(_, waiting)| can_run(waiting))
            .map(|(&position, waiting)| (position, waiting.target))
    }

    /// Finds the first request that can run and that a scan has not looked at.
    pub fn next_runnable<F>(
        &mut self,
        scan: u64,
        pools: PoolKind,
        can_run: &mut F,
    ) -> Option<(Position, QueueTarget)>
    where
        F: FnMut(&QueuedRequest) -> bool,
    {
        let heads = match pools {
            PoolKind::Engines => &mut self.engine_heads,
            PoolKind::Services => &mut self.service_heads,
        };
        let scanned = heads.scanned.filter(|&(last, _)| last == scan);
        let from = scanned.map_or(Bound::Unbounded, |(_, position)| Bound::Excluded(position));
        for (&position, waiting) in heads.by_position.range((from, Bound::Unbounded)) {
            heads.scanned = Some((scan, position));
            if can_run(waiting) {
                return Some((position, waiting.target));
            }
        }
        None
    }

    const fn heads_mut(
        &mut self,
        pools: PoolKind,
    ) -> &mut Heads {
        match pools {
            PoolKind::Engines => &mut self.engine_heads,
            PoolKind::Services => &mut self.service_heads,
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
