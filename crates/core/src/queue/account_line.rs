use {
    super::{
        AccountShare, Target, Waiting,
        pool::{Backlog, Pool},
    },
    crate::clock::Millis,
    std::collections::{BTreeMap, HashMap},
};

/// Place in an account's line: time of arrival plus patience, then order of arrival.
pub type Place = (Millis, u64);

/// The waiting requests of one client account, by target.
///
/// Requests for a target that can't run now must not hold up those behind them, and looking at
/// each of them in turn would take long; so only the first of each target is looked at.
#[derive(Clone, Debug, Default)]
pub struct AccountLine {
    /// Weight and bound.
    pub share: AccountShare,
    /// Cost served so far, divided by weight; in thousandths.
    pub counter: u64,
    by_target: HashMap<Target, BTreeMap<Place, Waiting>>,
    /// The first of each target.
    heads: BTreeMap<Place, Target>,
    backlogs: BTreeMap<Pool, Backlog>,
    len: usize,
}

impl AccountLine {
    /// Number of requests that wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Its weight as it is used.
    pub fn weight(&self) -> u64 {
        u64::from(self.share.weight.max(1))
    }

    /// Whether nothing waits.
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

    /// Takes a request out.
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

    /// The first request in order that can run.
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

    /// What waits in a pool.
    pub fn backlog(
        &self,
        pool: Pool,
    ) -> Backlog {
        self.backlogs.get(&pool).copied().unwrap_or_default()
    }

    /// All that waits, in the order in which it would be served.
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
