use {
    super::{
        AccountShare, QueueSettings, Queued, Target, Waiting,
        account_line::{AccountLine, Place},
        service_rate::ServiceRate,
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, RequestId},
    },
    std::collections::{BTreeSet, HashMap},
};

/// Counters are kept in thousandths of a token, for the sake of the weights.
const COUNTER_SCALE: u64 = 1000;

/// Where a waiting request stands.
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
    /// Accounts with something waiting, lowest counter first.
    active: BTreeSet<(u64, AccountId)>,
    locations: HashMap<RequestId, Location>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    rate: ServiceRate,
    /// Sum of the weights of the active accounts.
    active_weight: u64,
    /// The highest counter that was ever the lowest; an account that was idle starts here.
    floor: u64,
    next_seq: u64,
}

impl FairQueue {
    /// An empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            lines: HashMap::new(),
            active: BTreeSet::new(),
            locations: HashMap::new(),
            deadlines: BTreeSet::new(),
            rate: ServiceRate::default(),
            active_weight: 0,
            floor: 0,
            next_seq: 0,
        }
    }

    /// Sets an account's weight and bound; what waits already goes on waiting.
    pub fn set_share(
        &mut self,
        account: AccountId,
        share: AccountShare,
    ) {
        let line = self.lines.entry(account).or_default();
        if !line.is_empty() {
            self.active_weight -= weight(line);
        }
        line.share = share;
        if !line.is_empty() {
            self.active_weight += weight(line);
        }
    }

    /// Forgets an account that no longer exists, and returns what of it still waits.
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

    /// Lets a request wait, or refuses it at once with when to come back.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::QueueFull`] when too much waits already, [`ErrorKind::CannotMeetDeadline`] when
    /// by the observed rate of service its turn would come too late.
    pub fn push(
        &mut self,
        waiting: Waiting,
        now: Millis,
    ) -> Result<Queued, Refusal> {
        let patience = self.settings.patience(waiting.priority);
        let place = (now + patience, self.next_seq);
        let deadline = waiting.deadline.min(now + self.settings.max_wait);
        let expected_wait = self.expected_wait(waiting.account, place, now);
        let line = self.lines.entry(waiting.account).or_default();
        let is_full =
            line.len() >= line.share.max_queued || self.locations.len() >= self.settings.max_queued;
        match expected_wait {
            _ if is_full => {
                let delay = self.time_for_one(waiting.account, now);
                return Err(Refusal::after(ErrorKind::QueueFull, delay));
            }
            Some(wait) if now + wait > deadline => {
                let late = (now + wait).since(deadline);
                return Err(Refusal::after(ErrorKind::CannotMeetDeadline, late));
            }
            None if deadline <= now => {
                return Err(Refusal::new(ErrorKind::CannotMeetDeadline));
            }
            _ => (),
        }
        self.next_seq += 1;
        if line.is_empty() {
            line.counter = line.counter.max(self.floor);
            self.active.insert((line.counter, waiting.account));
            self.active_weight += weight(line);
        }
        line.insert(place, waiting);
        let location = Location {
            account: waiting.account,
            place,
            target: waiting.target,
            deadline,
        };
        self.locations.insert(waiting.request, location);
        self.deadlines.insert((deadline, waiting.request));
        self.rate.note_waiting(now);
        Ok(Queued {
            expected_wait: expected_wait.unwrap_or_default(),
        })
    }

    /// Takes the next request that can run.
    ///
    /// `can_run` is asked about the first request of each target, in order, until it agrees.
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
        let still_waiting = !self.locations.is_empty();
        self.rate.note_served(waiting.cost, still_waiting, now);
        Some(waiting)
    }

    /// Corrects an account's counter once the actual cost is known.
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

    /// Takes out a request whose caller has gone.
    pub fn cancel(
        &mut self,
        request: RequestId,
        now: Millis,
    ) -> Option<Waiting> {
        let location = *self.locations.get(&request)?;
        let waiting = self.take_out(location.account, location.place, location.target)?;
        if self.locations.is_empty() {
            self.rate.note_empty(now);
        }
        Some(waiting)
    }

    /// Takes out the requests whose deadline has passed, to be refused.
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
        expired
    }

    /// When [`Self::expire`] has something to do next.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Number of requests of one account that wait.
    pub fn len_of(
        &self,
        account: AccountId,
    ) -> usize {
        self.lines.get(&account).map_or(0, AccountLine::len)
    }

    /// The targets that something waits for are what may be worth loading: all that waits.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, AccountId, Target)> + '_ {
        self.locations
            .iter()
            .map(|(&request, location)| (request, location.account, location.target))
    }

    /// How long a request at `place` would wait, or none while the rate of service is unknown.
    fn expected_wait(
        &self,
        account: AccountId,
        place: Place,
        now: Millis,
    ) -> Option<Millis> {
        let before = self
            .lines
            .get(&account)
            .map_or(0, |line| line.cost_before(place));
        self.time_to_serve(account, before, now)
    }

    /// How long until one request of the account has left its line.
    fn time_for_one(
        &self,
        account: AccountId,
        now: Millis,
    ) -> Millis {
        let line = self.lines.get(&account);
        let mean = line.map_or(0, |line| line.backlog / (line.len() as u64).max(1));
        self.time_to_serve(account, mean, now)
            .unwrap_or(Millis::from_secs(1))
            .min(self.settings.max_wait)
    }

    fn time_to_serve(
        &self,
        account: AccountId,
        cost: u64,
        now: Millis,
    ) -> Option<Millis> {
        if cost == 0 {
            return None;
        }
        let rate = self.rate.per_millisecond(now)?;
        let line = self.lines.get(&account)?;
        let own = weight(line);
        let joining = if line.is_empty() { own } else { 0 };
        let part = own as f64 / (self.active_weight + joining) as f64;
        let wait = cost as f64 / (rate * part).max(f64::MIN_POSITIVE);
        Some(Millis(wait as u64))
    }

    fn take_out(
        &mut self,
        account: AccountId,
        place: Place,
        target: Target,
    ) -> Option<Waiting> {
        let line = self.lines.get_mut(&account)?;
        let waiting = line.remove(place, target)?;
        if line.is_empty() {
            self.active.remove(&(line.counter, account));
            self.active_weight -= weight(line);
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

fn weight(line: &AccountLine) -> u64 {
    u64::from(line.share.weight.max(1))
}

fn scaled(
    cost: u64,
    line: &AccountLine,
) -> u64 {
    cost.saturating_mul(COUNTER_SCALE) / weight(line)
}
