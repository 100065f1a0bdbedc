use {super::CallerTag, crate::clock::Millis};

/// How much one outcome changes the share of callers that are expected back.
const LEARNING: f64 = 1.0 / 16.0;

/// Tokens set aside for a caller that was told when to come back.
#[derive(Clone, Copy, Debug)]
struct Promise {
    caller: CallerTag,
    milli: u64,
    due: Millis,
}

/// The refusals of one account whose time to come back was promised.
///
/// Without them every refused caller would be told the same time, all would come back together,
/// and newcomers would take what had been earned meanwhile: the callers would notice that coming
/// back as told is refused again. So what will be earned is given out in order, and a newcomer
/// can't use what a promise needs.
///
/// Many callers never come back. Were all kept back for them, an account over its limit would get
/// nearly nothing, so only that part is kept back that, by what was seen, will come for it.
#[derive(Clone, Debug)]
pub struct Promises {
    /// In order of their time.
    open: Vec<Promise>,
    /// Sum of what they need.
    milli: u64,
    /// The share of callers that come back when told, as learned.
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
    /// Thousandths of a token kept back for callers that come before this one; for all, when
    /// nothing was promised to it.
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

    /// Thousandths of a token that all would need if every caller came back.
    ///
    /// This spreads the times that are named; a caller may come back at another VM.
    pub const fn promised(&self) -> u64 {
        self.milli
    }

    /// Thousandths of a token kept back in all.
    pub fn reserved(&self) -> u64 {
        self.expected(self.milli)
    }

    /// Thousandths of a token a second that it takes to keep all promises in time.
    pub fn per_second(
        &self,
        now: Millis,
    ) -> u64 {
        let last = self.open.last().map_or(now, |promise| promise.due);
        self.reserved() * 1000 / last.since(now).0.max(1000)
    }

    /// When `caller` was told to come back.
    pub fn due(
        &self,
        caller: CallerTag,
    ) -> Option<Millis> {
        self.position(caller).map(|at| self.open[at].due)
    }

    /// Number of open promises.
    pub const fn len(&self) -> usize {
        self.open.len()
    }

    /// Adds a promise.
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

    /// Ends the promise of a caller that has come back.
    pub fn end(
        &mut self,
        caller: CallerTag,
    ) {
        if let Some(at) = self.position(caller) {
            self.milli -= self.open.remove(at).milli;
            self.learn(1.0);
        }
    }

    /// Ends the promises whose callers did not come back in time.
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
