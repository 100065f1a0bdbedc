use {super::CallerTag, crate::clock::Millis};

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
#[derive(Clone, Debug, Default)]
pub struct Promises {
    /// In order of their time.
    open: Vec<Promise>,
}

impl Promises {
    /// Thousandths of a token that promises earlier than the one of `caller` need; all, without one.
    pub fn reserved_before(
        &self,
        caller: CallerTag,
    ) -> u64 {
        self.open
            .iter()
            .take_while(|promise| promise.caller != caller)
            .map(|promise| promise.milli)
            .sum()
    }

    /// When `caller` was told to come back.
    pub fn due(
        &self,
        caller: CallerTag,
    ) -> Option<Millis> {
        self.open
            .iter()
            .find(|promise| promise.caller == caller)
            .map(|promise| promise.due)
    }

    /// All thousandths of a token that are spoken for.
    pub fn reserved(&self) -> u64 {
        self.open.iter().map(|promise| promise.milli).sum()
    }

    /// Number of open promises.
    pub fn len(&self) -> usize {
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
    }

    /// Ends the promise of a caller that was served.
    pub fn keep(
        &mut self,
        caller: CallerTag,
    ) {
        self.open.retain(|promise| promise.caller != caller);
    }

    /// Ends the promises whose callers did not come back in time.
    pub fn expire(
        &mut self,
        now: Millis,
        grace: Millis,
    ) {
        self.open.retain(|promise| now < promise.due + grace);
    }
}
