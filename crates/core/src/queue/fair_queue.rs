use {
    super::{
        AccountShare, QueueSettings, Queued, Target, Waiting,
        account_line::{AccountLine, Place},
        estimate,
        pool::{Pool, PoolState},
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, RequestId},
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Counter units per token, for precision when dividing by weights.
const COUNTER_SCALE: u64 = 1000;

/// Interval of the scan for requests that will miss their deadlines.
const LOOK_EVERY: Millis = Millis(250);

/// Retry delay for a full queue while its service rate is unknown.
const UNKNOWN_DELAY: Millis = Millis::from_secs(1);

/// The position of a waiting request.
#[derive(Clone, Copy, Debug)]
struct Location {
    account: AccountId,
    place: Place,
    target: Target,
    deadline: Millis,
}

/// The waiting requests of one VM.
#[derive(Clone, Debug)]
pub struct FairQueue {
    settings: QueueSettings,
    lines: HashMap<AccountId, AccountLine>,
    /// Accounts with waiting requests, ordered by counter.
    active: BTreeSet<(u64, AccountId)>,
    locations: HashMap<RequestId, Location>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    pools: BTreeMap<Pool, PoolState>,
    looked_at: Millis,
    /// Virtual time: maximum of the lowest counter so far; an idle account resumes from here.
    floor: u64,
    next_seq: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            lines: HashMap::new(),
            active: BTreeSet::new(),
            locations: HashMap::new(),
            deadlines: BTreeSet::new(),
            pools: BTreeMap::new(),
            looked_at: Millis::ZERO,
            floor: 0,
            next_seq: 0,
        }
    }

    /// Sets an account's weight and queue limit; waiting requests stay queued.
    pub fn set_share(
        &mut self,
        account: AccountId,
        share: AccountShare,
    ) {
        let line = self.lines.entry(account).or_default();
        let before = line.weight();
        line.share = share;
        for (&pool, state) in &mut self.pools {
            if line.backlog(pool).len > 0 {
                state.active_weight = state.active_weight - before + line.weight();
            }
        }
    }

    /// Removes a deleted account and returns its waiting requests.
    pub fn remove(
        &mut self,
        account: AccountId,
        now: Millis,
    ) -> Vec<Waiting> {
        let requests: Vec<RequestId> = self
            .locations
            .iter()
            .filter(|(_, location)| location.account == account)
            .map(|(&request, _)| request)
            .collect();
        let removed = requests
            .into_iter()
            .filter_map(|request| self.cancel(request, now))
            .collect();
        self.lines.remove(&account);
        removed
    }

    /// Enqueues a request, or refuses it with a retry delay.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::QueueFull`] when a queue limit is reached, [`ErrorKind::CannotMeetDeadline`] when
    /// it would miss its deadline at the observed service rate.
    pub fn push(
        &mut self,
        waiting: Waiting,
        now: Millis,
    ) -> Result<Queued, Refusal> {
        let patience = self.settings.patience(waiting.priority);
        let place = (now + patience, self.next_seq);
        let deadline = waiting.deadline.min(now + self.settings.max_wait);
        let waiting = Waiting {
            deadline,
            ..waiting
        };
        let expected_wait = self.check(&waiting, now)?;
        self.next_seq += 1;
        let pool = Pool::of(waiting.target);
        let state = self.pools.entry(pool).or_default();
        let line = self.lines.entry(waiting.account).or_default();
        if line.is_empty() {
            line.counter = line.counter.max(self.floor);
            self.active.insert((line.counter, waiting.account));
        }
        if line.backlog(pool).len == 0 {
            state.active_weight += line.weight();
        }
        state.waiting += 1;
        state.rate.note_waiting(now);
        line.insert(place, waiting);
        let location = Location {
            account: waiting.account,
            place,
            target: waiting.target,
            deadline,
        };
        self.locations.insert(waiting.request, location);
        self.deadlines.insert((deadline, waiting.request));
        Ok(Queued { expected_wait })
    }

    /// Removes and returns the next request that can run.
    ///
    /// `can_run` is called for the first request of each target, in order, until it returns true.
    pub fn pop<F>(
        &mut self,
        now: Millis,
        mut can_run: F,
    ) -> Option<Waiting>
    where
        F: FnMut(&Waiting) -> bool,
    {
        let (account, place, target) = self.active.iter().find_map(|&(_, account)| {
            self.lines[&account]
                .first_runnable(&mut can_run)
                .map(|(place, target)| (account, place, target))
        })?;
        if let Some(&(lowest, _)) = self.active.first() {
            self.floor = self.floor.max(lowest);
        }
        let waiting = self.take_out(account, place, target)?;
        self.charge(account, waiting.cost);
        if let Some(state) = self.pools.get_mut(&Pool::of(target)) {
            state.rate.note_served(waiting.cost, state.waiting > 0, now);
        }
        Some(waiting)
    }

    /// Adjusts an account's counter to the actual cost, in tokens.
    pub fn settle(
        &mut self,
        account: AccountId,
        charged: u64,
        actual: u64,
    ) {
        match actual.checked_sub(charged) {
            Some(more) => self.charge(account, more),
            None => self.discharge(account, charged - actual),
        }
    }

    /// Requeues a request as if it arrived `by` after `now`, without its priority delay.
    pub fn postpone(
        &mut self,
        request: RequestId,
        by: Millis,
        now: Millis,
    ) {
        let Some(&location) = self.locations.get(&request) else {
            return;
        };
        let place = (now + by, self.next_seq);
        self.next_seq += 1;
        let line = self.lines.entry(location.account).or_default();
        if let Some(waiting) = line.remove(location.place, location.target) {
            line.insert(place, waiting);
            self.locations
                .insert(request, Location { place, ..location });
        }
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(
        &mut self,
        request: RequestId,
        now: Millis,
    ) -> Option<Waiting> {
        let location = *self.locations.get(&request)?;
        let waiting = self.take_out(location.account, location.place, location.target)?;
        let pool = self.pools.get_mut(&Pool::of(location.target));
        if let Some(state) = pool.filter(|state| state.waiting == 0) {
            state.rate.note_empty(now);
        }
        Some(waiting)
    }

    /// Removes the requests that have missed or will miss their deadlines.
    pub fn expire(
        &mut self,
        now: Millis,
    ) -> Vec<Waiting> {
        let mut expired = Vec::new();
        while let Some(&(deadline, request)) = self.deadlines.first()
            && deadline <= now
        {
            expired.extend(self.cancel(request, now));
        }
        if self.settings.judges_by_rate && now.since(self.looked_at) >= LOOK_EVERY {
            self.looked_at = now;
            for request in self.hopeless(now) {
                expired.extend(self.cancel(request, now));
            }
        }
        expired
    }

    /// The earliest deadline of the waiting requests.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Number of waiting requests of one account.
    pub fn len_of(
        &self,
        account: AccountId,
    ) -> usize {
        self.lines.get(&account).map_or(0, AccountLine::len)
    }

    /// Iterates over all waiting requests, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, AccountId, Target)> + '_ {
        self.locations
            .iter()
            .map(|(&request, location)| (request, location.account, location.target))
    }

    /// Checks whether a request can be queued, and returns its expected wait.
    fn check(
        &self,
        waiting: &Waiting,
        now: Millis,
    ) -> Result<Millis, Refusal> {
        let pool = Pool::of(waiting.target);
        let state = self.pools.get(&pool).copied().unwrap_or_default();
        let new = AccountLine::default();
        let line = self.lines.get(&waiting.account).unwrap_or(&new);
        let wait = estimate::wait_of_new(line, pool, &state, waiting.priority, now);
        let left = waiting.deadline.since(now);
        match wait.unwrap_or_default() {
            _ if self.is_full_for(line) => {
                let delay = estimate::wait_for_one(line, pool, &state, now);
                let delay = delay.unwrap_or(UNKNOWN_DELAY).min(self.settings.max_wait);
                Err(Refusal::after(ErrorKind::QueueFull, delay))
            }
            wait if self.settings.judges_by_rate && wait >= left => {
                let late = wait.since(left).min(self.settings.max_wait);
                Err(Refusal::after(ErrorKind::CannotMeetDeadline, late))
            }
            wait => Ok(wait),
        }
    }

    /// When the whole queue is full, accounts below an even share can still enqueue.
    fn is_full_for(
        &self,
        line: &AccountLine,
    ) -> bool {
        let even = self.settings.max_queued / (2 * self.active.len() + 1);
        line.len() >= line.share.max_queued
            || (self.locations.len() >= self.settings.max_queued && line.len() >= even)
    }

    fn hopeless(
        &self,
        now: Millis,
    ) -> Vec<RequestId> {
        self.active
            .iter()
            .flat_map(|(_, account)| estimate::hopeless(&self.lines[account], &self.pools, now))
            .map(|waiting| waiting.request)
            .collect()
    }

    fn take_out(
        &mut self,
        account: AccountId,
        place: Place,
        target: Target,
    ) -> Option<Waiting> {
        let line = self.lines.get_mut(&account)?;
        let waiting = line.remove(place, target)?;
        let pool = Pool::of(target);
        if let Some(state) = self.pools.get_mut(&pool) {
            state.waiting -= 1;
            let last = line.backlog(pool).len == 0;
            state.active_weight -= if last { line.weight() } else { 0 };
        }
        if line.is_empty() {
            self.active.remove(&(line.counter, account));
        }
        if let Some(location) = self.locations.remove(&waiting.request) {
            self.deadlines.remove(&(location.deadline, waiting.request));
        }
        Some(waiting)
    }

    fn charge(
        &mut self,
        account: AccountId,
        cost: u64,
    ) {
        self.move_counter(account, |line| {
            line.counter.saturating_add(scaled(cost, line))
        });
    }

    fn discharge(
        &mut self,
        account: AccountId,
        cost: u64,
    ) {
        let floor = self.floor;
        self.move_counter(account, |line| {
            let lowest = floor.min(line.counter);
            line.counter.saturating_sub(scaled(cost, line)).max(lowest)
        });
    }

    fn move_counter<F>(
        &mut self,
        account: AccountId,
        to: F,
    ) where
        F: FnOnce(&AccountLine) -> u64,
    {
        let Some(line) = self.lines.get_mut(&account) else {
            return;
        };
        let was_active = self.active.remove(&(line.counter, account));
        line.counter = to(line);
        if was_active {
            self.active.insert((line.counter, account));
        }
    }
}

fn scaled(
    cost: u64,
    line: &AccountLine,
) -> u64 {
    (cost.saturating_mul(COUNTER_SCALE) / line.weight()).max(1)
}
