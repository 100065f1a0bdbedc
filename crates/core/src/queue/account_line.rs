use {
    super::{
        AccountShare, Target, Waiting,
        pool::{Backlog, Pool},
    },
    crate::clock::Millis,
    std::collections::{BTreeMap, HashMap},
};

/// Sort key within an account's queue: arrival time plus priority delay, then arrival order.
pub type Place = (Millis, u64);

/// The waiting requests of one client account, grouped by target.
///
/// Only the first request of each target is considered, so requests of a blocked target neither block
/// the others nor have to be scanned.
#[derive(Clone, Debug, Default)]
pub struct AccountLine {
    /// Weight and queue limit.
    pub share: AccountShare,
    /// Virtual counter: served cost divided by weight, in thousandths of a token.
    pub counter: u64,
    by_target: HashMap<Target, BTreeMap<Place, Waiting>>,
    /// The first request of each target.
    heads: BTreeMap<Place, Target>,
    backlogs: BTreeMap<Pool, Backlog>,
    len: usize,
}

impl AccountLine {
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
        place: Place,
        waiting: Waiting,
    ) {
        let line = self.by_target.entry(waiting.target).or_default();
        let head = line.first_key_value().map(|(&head, _)| head);
        line.insert(place, waiting);
        match head {
            Some(head) if head < place => (),
            Some(head) => {
                self.heads.remove(&head);
                self.heads.insert(place, waiting.target);
            }
            None => {
                self.heads.insert(place, waiting.target);
            }
        }
        self.len += 1;
        let backlog = self.backlogs.entry(Pool::of(waiting.target)).or_default();
        backlog.add(waiting.priority, waiting.cost);
    }

    /// Removes a request.
    pub fn remove(
        &mut self,
        place: Place,
        target: Target,
    ) -> Option<Waiting> {
        let line = self.by_target.get_mut(&target)?;
        let waiting = line.remove(&place)?;
        if self.heads.remove(&place).is_some() {
            match line.first_key_value() {
                Some((&next, _)) => {
                    self.heads.insert(next, target);
                }
                None => {
                    self.by_target.remove(&target);
                }
            }
        }
        self.len -= 1;
        if let Some(backlog) = self.backlogs.get_mut(&Pool::of(target)) {
            backlog.take(waiting.priority, waiting.cost);
        }
        Some(waiting)
    }

    /// Finds the first request that can run.
    pub fn first_runnable<F>(
        &self,
        can_run: &mut F,
    ) -> Option<(Place, Target)>
    where
        F: FnMut(&Waiting) -> bool,
    {
        self.heads
            .iter()
            .find(|&(place, target)| can_run(&self.by_target[target][place]))
            .map(|(&place, &target)| (place, target))
    }

    /// The waiting requests of a pool.
    pub fn backlog(
        &self,
        pool: Pool,
    ) -> Backlog {
        self.backlogs.get(&pool).copied().unwrap_or_default()
    }

    /// All waiting requests in service order.
    pub fn in_order(&self) -> Vec<Waiting> {
        let mut all: Vec<(Place, Waiting)> = self
            .by_target
            .values()
            .flatten()
            .map(|(&place, &waiting)| (place, waiting))
            .collect();
        all.sort_unstable_by_key(|&(place, _)| place);
        all.into_iter().map(|(_, waiting)| waiting).collect()
    }
}
