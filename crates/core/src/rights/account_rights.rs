use {
    super::{
        CallerTag, Limit, MILLI, Right, RightsSettings, SHARE_WHOLE, TakeRequest, bucket::Bucket,
        demand::Demand, peers::PeerHints, promises::Promises,
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
    },
};

/// Factor applied to the giver's and the asker's demand, in percent.
const HEADROOM_PERCENT: u64 = 125;

/// Upper bound of the retry time given to a refused caller.
const LONGEST_RETRY: Millis = Millis::from_secs(60);

/// Upper bound of the reserved part of the bucket capacity, in percent.
const MOST_RESERVED_PERCENT: u64 = 50;

/// Tokens given at most beyond the request, in seconds of the asker's demand.
const FILL_SECS: u64 = 2;

/// The state of one account at one holder.
#[derive(Clone, Debug, Default)]
pub struct AccountRights {
    /// This holder's part of the account's token bucket.
    pub bucket: Bucket,
    /// Demand of the callers at this holder.
    pub demand: Demand,
    /// Reservations for refused callers.
    pub promises: Promises,
    /// Selects the peers to ask for more rights.
    pub peers: PeerHints,
}

impl AccountRights {
    /// Refills the bucket and drops expired reservations.
    pub fn advance(
        &mut self,
        settings: &RightsSettings,
        now: Millis,
    ) {
        self.bucket.refill(now);
        self.promises.expire(now, settings.grace);
    }

    /// Millitokens reserved for callers with an earlier retry time.
    ///
    /// Limited to part of the capacity, because a full bucket loses the tokens it earns.
    pub fn reserved_before(
        &self,
        caller: CallerTag,
    ) -> u64 {
        self.promises
            .reserved_before(caller)
            .min(self.most_reserved())
    }

    /// Millitokens that neither local demand nor reservations need soon.
    pub fn spare(
        &self,
        settings: &RightsSettings,
        now: Millis,
    ) -> u64 {
        let soon = self.demand.per_second(now) * settings.keep.0 / 1000;
        self.bucket
            .tokens()
            .saturating_sub(self.promises.reserved().min(self.most_reserved()))
            .saturating_sub(soon)
    }

    /// Refuses a request and, where possible, reserves tokens for its retry.
    pub fn promise(
        &mut self,
        milli: u64,
        caller: CallerTag,
        settings: &RightsSettings,
        now: Millis,
    ) -> Refusal {
        if let Some(due) = self.promises.due(caller).filter(|&due| due > now) {
            return Refusal::after(ErrorKind::RateLimited, due.since(now));
        }
        self.promises.end(caller);
        let missing = milli
            .saturating_add(self.promises.promised())
            .saturating_add(self.bucket.debt())
            .saturating_sub(self.bucket.tokens());
        let delay = time_to_earn(missing, self.bucket.rate());
        let can_promise = delay <= settings.horizon
            && milli <= self.bucket.room()
            && self.promises.len() < settings.max_promises;
        if can_promise {
            self.promises.add(caller, milli, now + delay);
            return Refusal::after(ErrorKind::RateLimited, delay);
        }
        // Too large or too late to reserve here: use the rate of the whole fleet.
        let fleet = time_to_earn(missing, self.bucket.limit().map_or(0, Limit::rate_milli));
        Refusal::after(ErrorKind::RateLimited, delay.min(fleet))
    }

    /// Computes the rights to give to an asker, without subtracting them.
    pub fn offer(
        &self,
        request: &TakeRequest,
        holders: u64,
        settings: &RightsSettings,
        now: Millis,
    ) -> Right {
        let own = self.demand.per_second(now) + self.promises.per_second(now);
        let theirs = request.demand.saturating_mul(MILLI);
        let tokens = self.tokens_for(request.needed, own, theirs, settings, now);
        let floor = SHARE_WHOLE / holders.max(1) / settings.floor_divisor.max(1);
        let rate_share = self.rate_for(own, theirs, floor);
        let large = request.needed.saturating_mul(2) >= self.burst();
        let kept = match own {
            // A request for most of the burst needs nearly all of the capacity at one holder.
            0 if large => 0,
            _ => floor.max((self.bucket.rate_share() - rate_share) / 2),
        };
        Right {
            account: request.account,
            rate_share,
            room_share: self.room_for(tokens, rate_share, kept, request.needed),
            tokens,
        }
    }

    fn most_reserved(&self) -> u64 {
        self.bucket.room() / 100 * MOST_RESERVED_PERCENT
    }

    fn tokens_for(
        &self,
        needed: u64,
        own: u64,
        theirs: u64,
        settings: &RightsSettings,
        now: Millis,
    ) -> u64 {
        let spare = self.spare(settings, now);
        let by_demand = u128::from(spare) * u128::from(theirs) / u128::from((own + theirs).max(1));
        let useful = theirs.saturating_mul(FILL_SECS);
        spare.min(needed.max(useful.min(by_demand as u64)))
    }

    fn rate_for(
        &self,
        own: u64,
        theirs: u64,
        floor: u64,
    ) -> u64 {
        let rate = self.bucket.limit().map_or(0, |limit| limit.rate);
        let own_share = share_of(with_headroom(own), rate.saturating_mul(MILLI));
        let their_share = share_of(with_headroom(theirs), rate.saturating_mul(MILLI));
        self.bucket
            .rate_share()
            .saturating_sub(own_share)
            .saturating_sub(floor)
            .min(their_share)
    }

    /// Computes the burst share that goes with the given tokens and rate.
    ///
    /// The giver keeps at least `kept`, and enough for its remaining tokens: a bucket too small for its
    /// rate fills at once and loses the tokens it earns.
    fn room_for(
        &self,
        tokens: u64,
        rate_share: u64,
        kept: u64,
        needed: u64,
    ) -> u64 {
        let room = self.bucket.room_share();
        let for_tokens = share_of(tokens, self.burst());
        let for_rate =
            u128::from(room) * u128::from(rate_share) / u128::from(self.bucket.rate_share().max(1));
        let staying = share_of(self.bucket.tokens() - tokens, self.burst());
        let for_needed = if kept == 0 {
            share_of(needed, self.burst())
        } else {
            0
        };
        let wanted = for_tokens.max(for_rate as u64).max(for_needed);
        wanted.min(room.saturating_sub(kept.max(staying)))
    }

    /// The account's fleet-wide burst, in millitokens.
    pub fn burst(&self) -> u64 {
        self.bucket.limit().map_or(0, Limit::burst_milli)
    }
}

/// Time to earn `milli` at a rate in millitokens per second.
fn time_to_earn(
    milli: u64,
    rate: u64,
) -> Millis {
    match rate {
        0 => LONGEST_RETRY,
        rate => Millis(milli.saturating_mul(1000).div_ceil(rate)).min(LONGEST_RETRY),
    }
}

fn with_headroom(milli: u64) -> u64 {
    milli.saturating_mul(HEADROOM_PERCENT) / 100
}

/// Converts `part` of `whole` to a share of [`SHARE_WHOLE`], rounded up.
fn share_of(
    part: u64,
    whole: u64,
) -> u64 {
    let share = (u128::from(part) << 32).div_ceil(u128::from(whole.max(1)));
    share.min(u128::from(SHARE_WHOLE)) as u64
}
