use {
    super::{
        AccountShare, Enqueued, QueueSettings, QueueTarget, QueuedRequest,
        account_queue::{AccountQueue, Position},
        estimate,
        pool::{Pool, PoolState, Pools},
    },
    crate::{
        IdMap,
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, RequestId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Counter units per token, for precision when dividing by weights.
const COUNTER_SCALE: u64 = 1000;

/// Interval of the scan for requests that will miss their deadlines.
const DEADLINE_SCAN_INTERVAL: Millis = Millis(250);

/// Retry delay for a full queue while its service rate is unknown.
const DEFAULT_RETRY_DELAY: Millis = Millis::from_secs(1);

/// The position of a waiting request.
#[derive(Clone, Copy, Debug)]
struct Location {
    account: AccountId,
    position: Position,
    target: QueueTarget,
    deadline: Millis,
}

/// The waiting requests of one VM.
#[derive(Clone, Debug)]
pub struct FairQueue {
    settings: QueueSettings,
    accounts: IdMap<AccountId, AccountQueue>,
    /// Accounts with waiting requests, ordered by counter.
    active: BTreeSet<(u64, AccountId)>,
    locations: IdMap<RequestId, Location>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    pools: BTreeMap<Pool, PoolState>,
    last_deadline_scan: Millis,
    /// Virtual time: maximum of the lowest counter so far; an idle account resumes from here.
    virtual_time: u64,
    next_seq: u64,
    /// Counts the scans by [`Self::pop_next`].
    scan: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            accounts: IdMap::default(),
            active: BTreeSet::new(),
            locations: IdMap::default(),
            deadlines: BTreeSet::new(),
            pools: BTreeMap::new(),
            last_deadline_scan: Millis::ZERO,
            virtual_time: 0,
            next_seq: 0,
            scan: 0,
        }
    }

    /// Sets an account's weight and queue limit; waiting requests stay queued.
    pub fn set_share(
        &mut self,
        account: AccountId,
        share: AccountShare,
    ) {
        let account_queue = self.accounts.entry(account).or_default();
        let before = account_queue.weight();
        account_queue.share = share;
        for (&pool, state) in &mut self.pools {
            if account_queue.backlog(pool).len > 0 {
                state.active_weight = state.active_weight - before + account_queue.weight();
            }
        }
    }

    /// Removes a deleted account and returns its waiting requests.
    pub fn remove(
        &mut self,
        account: AccountId,
        now: Millis,
    ) -> Vec<QueuedRequest> {
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
        self.accounts.remove(&account);
        removed
    }

    /// Enqueues a request, or refuses it with a retry delay.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::QueueFull`] when a queue limit is reached, [`ErrorKind::CannotMeetDeadline`]
    /// when it would miss its deadline at the observed service rate.
    pub fn push(
        &mut self,
        waiting: QueuedRequest,
        now: Millis,
    ) -> Result<Enqueued, Refusal> {
        let priority_delay = self.settings.priority_delay(waiting.priority);
        let position = (now + priority_delay, self.next_seq);
        let deadline = waiting.deadline.min(now + self.settings.max_wait);
        let waiting = QueuedRequest {
            deadline,
            ..waiting
        };
        let expected_wait = self.check_admission(&waiting, now)?;
        self.next_seq += 1;
        let pool = Pool::for_target(waiting.target);
        let state = self.pools.entry(pool).or_default();
        let account_queue = self.accounts.entry(waiting.account).or_default();
        if account_queue.is_empty() {
            account_queue.counter = account_queue.counter.max(self.virtual_time);
            self.active.insert((account_queue.counter, waiting.account));
        }
        if account_queue.backlog(pool).len == 0 {
            state.active_weight += account_queue.weight();
        }
        state.waiting += 1;
        state.rate.record_waiting(now);
        account_queue.insert(position, waiting);
        let location = Location {
            account: waiting.account,
            position,
            target: waiting.target,
            deadline,
        };
        self.locations.insert(waiting.request, location);
        self.deadlines.insert((deadline, waiting.request));
        Ok(Enqueued { expected_wait })
    }

    /// Removes and returns the next request that can run, of all that wait.
    ///
    /// `can_run` is called for the first request of each target, in order, until it returns true.
    pub fn pop<F>(
        &mut self,
        now: Millis,
        can_run: F,
    ) -> Option<QueuedRequest>
    where
        F: FnMut(&QueuedRequest) -> bool,
    {
        self.rewind();
        self.pop_next(now, Pools::All, can_run)
    }

    /// Begins a new scan by [`Self::pop_next`].
    pub const fn rewind(&mut self) {
        self.scan += 1;
    }

    /// Removes and returns the next request of these pools that can run, among those that this scan has not looked at.
    ///
    /// A scan that sends many requests looks at each one once.
    pub fn pop_next<F>(
        &mut self,
        now: Millis,
        pools: Pools,
        mut can_run: F,
    ) -> Option<QueuedRequest>
    where
        F: FnMut(&QueuedRequest) -> bool,
    {
        let (account, position, target) = self.active.iter().find_map(|&(_, account)| {
            self.accounts
                .get_mut(&account)?
                .next_runnable(self.scan, pools, &mut can_run)
                .map(|(position, target)| (account, position, target))
        })?;
        if let Some(&(lowest, _)) = self.active.first() {
            self.virtual_time = self.virtual_time.max(lowest);
        }
        let waiting = self.dequeue(account, position, target)?;
        self.increase_counter(account, waiting.cost);
        if let Some(state) = self.pools.get_mut(&Pool::for_target(target)) {
            state
                .rate
                .record_served(waiting.cost, state.waiting > 0, now);
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
            Some(more) => self.increase_counter(account, more),
            None => self.decrease_counter(account, charged - actual),
        }
    }

    /// Requeues a request as if it arrived `delay` after `now`, without its priority delay.
    pub fn postpone(
        &mut self,
        request: RequestId,
        delay: Millis,
        now: Millis,
    ) {
        let Some(&location) = self.locations.get(&request) else {
            return;
        };
        let position = (now + delay, self.next_seq);
        self.next_seq += 1;
        let account_queue = self.accounts.entry(location.account).or_default();
        if let Some(waiting) = account_queue.remove(location.position, location.target) {
            account_queue.insert(position, waiting);
            self.locations.insert(
                request,
                Location {
                    position,
                    ..location
                },
            );
        }
    }

    /// Changes what a request needs to run, to another target of the same pool.
    pub fn retarget(
        &mut self,
        request: RequestId,
        target: QueueTarget,
    ) {
        let Some(location) = self.locations.get_mut(&request) else {
            return;
        };
        let account_queue = self.accounts.entry(location.account).or_default();
        if let Some(waiting) = account_queue.remove(location.position, location.target) {
            account_queue.insert(location.position, QueuedRequest { target, ..waiting });
            location.target = target;
        }
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(
        &mut self,
        request: RequestId,
        now: Millis,
    ) -> Option<QueuedRequest> {
        let location = *self.locations.get(&request)?;
        let waiting = self.dequeue(location.account, location.position, location.target)?;
        let pool = self.pools.get_mut(&Pool::for_target(location.target));
        if let Some(state) = pool.filter(|state| state.waiting == 0) {
            state.rate.record_empty(now);
        }
        Some(waiting)
    }

    /// Removes the requests that have missed or will miss their deadlines.
    pub fn expire(
        &mut self,
        now: Millis,
    ) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        while let Some(&(deadline, request)) = self.deadlines.first()
            && deadline <= now
        {
            expired.extend(self.cancel(request, now));
        }
        if self.settings.refuses_by_estimate
            && now.since(self.last_deadline_scan) >= DEADLINE_SCAN_INTERVAL
        {
            self.last_deadline_scan = now;
            for request in self.late_requests(now) {
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
    pub fn account_len(
        &self,
        account: AccountId,
    ) -> usize {
        self.accounts.get(&account).map_or(0, AccountQueue::len)
    }

    /// Iterates over all waiting requests, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, AccountId, QueueTarget)> + '_ {
        self.locations
            .iter()
            .map(|(&request, location)| (request, location.account, location.target))
    }

    /// Checks whether a request can be queued, and returns its expected wait.
    fn check_admission(
        &self,
        waiting: &QueuedRequest,
        now: Millis,
    ) -> Result<Millis, Refusal> {
        let pool = Pool::for_target(waiting.target);
        let state = self.pools.get(&pool).copied().unwrap_or_default();
        let new = AccountQueue::default();
        let account_queue = self.accounts.get(&waiting.account).unwrap_or(&new);
        let wait = estimate::new_request_wait(account_queue, pool, &state, waiting.priority, now);
        let left = waiting.deadline.since(now);
        match wait.unwrap_or_default() {
            _ if self.is_full_for(account_queue) => {
                let delay = estimate::one_request_wait(account_queue, pool, &state, now);
                let delay = delay
                    .unwrap_or(DEFAULT_RETRY_DELAY)
                    .min(self.settings.max_wait);
                Err(Refusal::after(ErrorKind::QueueFull, delay))
            }
            wait if self.settings.refuses_by_estimate && wait >= left => {
                let late = wait.since(left).min(self.settings.max_wait);
                Err(Refusal::after(ErrorKind::CannotMeetDeadline, late))
            }
            wait => Ok(wait),
        }
    }

    /// When the whole queue is full, accounts below an even share can still enqueue.
    fn is_full_for(
        &self,
        account_queue: &AccountQueue,
    ) -> bool {
        let even_share = self.settings.max_queued / (2 * self.active.len() + 1);
        account_queue.len() >= account_queue.share.max_queued
            || (self.locations.len() >= self.settings.max_queued
                && account_queue.len() >= even_share)
    }

    fn late_requests(
        &self,
        now: Millis,
    ) -> Vec<RequestId> {
        self.active
            .iter()
            .flat_map(|(_, account)| {
                estimate::late_requests(&self.accounts[account], &self.pools, now)
            })
            .map(|waiting| waiting.request)
            .collect()
    }

    fn dequeue(
        &mut self,
        account: AccountId,
        position: Position,
        target: QueueTarget,
    ) -> Option<QueuedRequest> {
        let account_queue = self.accounts.get_mut(&account)?;
        let waiting = account_queue.remove(position, target)?;
        let pool = Pool::for_target(target);
        if let Some(state) = self.pools.get_mut(&pool) {
            state.waiting -= 1;
            let last = account_queue.backlog(pool).len == 0;
            state.active_weight -= if last { account_queue.weight() } else { 0 };
        }
        if account_queue.is_empty() {
            self.active.remove(&(account_queue.counter, account));
        }
        if let Some(location) = self.locations.remove(&waiting.request) {
            self.deadlines.remove(&(location.deadline, waiting.request));
        }
        Some(waiting)
    }

    fn increase_counter(
        &mut self,
        account: AccountId,
        cost: u64,
    ) {
        self.move_counter(account, |account_queue| {
            account_queue
                .counter
                .saturating_add(counter_units(cost, account_queue))
        });
    }

    fn decrease_counter(
        &mut self,
        account: AccountId,
        cost: u64,
    ) {
        let virtual_time = self.virtual_time;
        self.move_counter(account, |account_queue| {
            let lowest = virtual_time.min(account_queue.counter);
            account_queue
                .counter
                .saturating_sub(counter_units(cost, account_queue))
                .max(lowest)
        });
    }

    fn move_counter<F>(
        &mut self,
        account: AccountId,
        to: F,
    ) where
        F: FnOnce(&AccountQueue) -> u64,
    {
        let Some(account_queue) = self.accounts.get_mut(&account) else {
            return;
        };
        let was_active = self.active.remove(&(account_queue.counter, account));
        account_queue.counter = to(account_queue);
        if was_active {
            self.active.insert((account_queue.counter, account));
        }
    }
}

fn counter_units(
    cost: u64,
    account_queue: &AccountQueue,
) -> u64 {
    (cost.saturating_mul(COUNTER_SCALE) / account_queue.weight()).max(1)
}
