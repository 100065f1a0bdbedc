use {
    super::{
        AccountShare, QueueTarget, QueuedRequest,
        pool::{Backlog, Pool},
    },
    crate::{IdMap, clock::Millis},
    std::collections::BTreeMap,
};

/// Sort key within an account's queue: arrival time plus priority delay, then arrival order.
pub type Position = (Millis, u64);

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
    /// The first request of each target.
    heads: BTreeMap<Position, QueueTarget>,
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
        match head {
            Some(head) if head < position => (),
            Some(head) => {
                self.heads.remove(&head);
                self.heads.insert(position, waiting.target);
            }
            None => {
                self.heads.insert(position, waiting.target);
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
        if self.heads.remove(&position).is_some() {
            match queue.first_key_value() {
                Some((&next, _)) => {
                    self.heads.insert(next, target);
                }
                None => {
                    self.by_target.remove(&target);
                }
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
        self.heads
            .iter()
            .find(|&(position, target)| can_run(&self.by_target[target][position]))
            .map(|(&position, &target)| (position, target))
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
