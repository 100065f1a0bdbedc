use {super::CallerTag, crate::clock::Millis};

/// Smoothing factor of the estimated return rate.
const LEARNING: f64 = 1.0 / 16.0;

/// Tokens reserved for the retry of one refused caller.
#[derive(Clone, Copy, Debug)]
struct Promise {
    caller: CallerTag,
    milli: u64,
    due: Millis,
}

/// Reservations for the refused callers of one account.
///
/// Retry times are spread by the refill rate and new callers can't use reserved tokens; otherwise all
/// refused callers would retry at once and be refused again.
///
/// Many callers never retry, so only the fraction that is expected to return is reserved.
#[derive(Clone, Debug)]
pub struct Promises {
    /// Ordered by `due`.
    open: Vec<Promise>,
    /// Sum of the reserved millitokens.
    milli: u64,
    /// Moving average of the fraction of callers that return.
    return_share: f64,
}

impl Default for Promises {
    fn default() -> Self {
        Self {
            open: Vec::new(),
            milli: 0,
            return_share: 0.25,
        }
    }
}

impl Promises {
    /// Millitokens reserved ahead of this caller; all of them if it has no reservation.
    pub fn reserved_before(
        &self,
        caller: CallerTag,
    ) -> u64 {
        let before = match self.position(caller) {
            None => self.milli,
            Some(at) => self.open[..at].iter().map(|promise| promise.milli).sum(),
        };
        self.expected(before)
    }

    /// Millitokens needed if every caller returns, used to spread retry times.
    pub const fn promised(&self) -> u64 {
        self.milli
    }

    /// Millitokens reserved in total, scaled by the return rate.
    pub fn reserved(&self) -> u64 {
        self.expected(self.milli)
    }

    /// Rate needed to fill all reservations in time, in millitokens per second.
    pub fn per_second(
        &self,
        now: Millis,
    ) -> u64 {
        let last = self.open.last().map_or(now, |promise| promise.due);
        self.reserved() * 1000 / last.since(now).0.max(1000)
    }

    /// The retry time of `caller`, if it has a reservation.
    pub fn due(
        &self,
        caller: CallerTag,
    ) -> Option<Millis> {
        self.position(caller).map(|at| self.open[at].due)
    }

    /// Number of reservations.
    pub const fn len(&self) -> usize {
        self.open.len()
    }

    /// Adds a reservation.
    pub fn add(
        &mut self,
        caller: CallerTag,
        milli: u64,
        due: Millis,
    ) {
        let at = self.open.partition_point(|promise| promise.due <= due);
        self.open.insert(at, Promise { caller, milli, due });
        self.milli += milli;
    }

    /// Removes the reservation of a caller that has returned.
    pub fn end(
        &mut self,
        caller: CallerTag,
    ) {
        if let Some(at) = self.position(caller) {
            self.milli -= self.open.remove(at).milli;
            self.learn(1.0);
        }
    }

    /// Removes the reservations whose callers did not return in time.
    pub fn expire(
        &mut self,
        now: Millis,
        grace: Millis,
    ) {
        let late = self
            .open
            .partition_point(|promise| promise.due + grace <= now);
        for promise in self.open.drain(..late) {
            self.milli -= promise.milli;
            self.return_share -= self.return_share * LEARNING;
        }
    }

    fn learn(
        &mut self,
        outcome: f64,
    ) {
        self.return_share += (outcome - self.return_share) * LEARNING;
    }

    fn expected(
        &self,
        milli: u64,
    ) -> u64 {
        (milli as f64 * self.return_share) as u64
    }

    fn position(
        &self,
        caller: CallerTag,
    ) -> Option<usize> {
        self.open
            .iter()
            .position(|promise| promise.caller == caller)
    }
}
