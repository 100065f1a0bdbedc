use {
    super::{
        CallerTag, FULL_SHARE, Limit, MILLITOKENS_PER_TOKEN, Right, RightsSettings, TakeRequest,
        bucket::Bucket, demand::Demand, peers::PeerSelector, reservations::RetryReservations,
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
    },
};

/// Factor applied to the giver's and the asker's demand, in percent.
const HEADROOM_PERCENT: u64 = 125;

/// Upper bound of the retry time given to a refused caller.
const MAX_RETRY_DELAY: Millis = Millis::from_secs(60);

/// Upper bound of the reserved part of the bucket capacity, in percent.
const MAX_RESERVED_PERCENT: u64 = 50;

/// Tokens given at most beyond the request, in seconds of the asker's demand.
const MAX_FILL_SECS: u64 = 2;

/// The state of one account at one holder.
#[derive(Clone, Debug, Default)]
pub struct AccountRights {
    /// This holder's part of the account's token bucket.
    pub bucket: Bucket,
    /// Demand of the callers at this holder.
    pub demand: Demand,
    /// Reservations for refused callers.
    pub reservations: RetryReservations,
    /// Selects the peers to ask for more rights.
    pub peers: PeerSelector,
}

impl AccountRights {
    /// Refills the bucket and drops expired reservations.
    pub fn advance(
        &mut self,
        settings: &RightsSettings,
        now: Millis,
    ) {
        self.bucket.refill(now);
        self.reservations.expire(now, settings.reservation_grace);
    }

    /// Millitokens reserved for callers with an earlier retry time.
    ///
    /// Limited to part of the capacity, because a full bucket loses the tokens it earns.
    pub fn reserved_before(
        &self,
        caller: CallerTag,
    ) -> u64 {
        self.reservations
            .reserved_before(caller)
            .min(self.max_reserved())
    }

    /// Millitokens that neither local demand nor reservations need soon.
    pub fn spare(
        &self,
        settings: &RightsSettings,
        now: Millis,
    ) -> u64 {
        let own_needs = self.demand.per_second(now) * settings.keep_window.0 / 1000;
        self.bucket
            .tokens()
            .saturating_sub(self.reservations.reserved().min(self.max_reserved()))
            .saturating_sub(own_needs)
    }

    /// Refuses a request and, where possible, reserves tokens for its retry.
    pub fn refuse(
        &mut self,
        millitokens: u64,
        caller: CallerTag,
        settings: &RightsSettings,
        now: Millis,
    ) -> Refusal {
        if let Some(due) = self.reservations.due(caller).filter(|&due| due > now) {
            return Refusal::after(ErrorKind::RateLimited, due.since(now));
        }
        self.reservations.complete(caller);
        let missing = millitokens
            .saturating_add(self.reservations.total())
            .saturating_add(self.bucket.debt())
            .saturating_sub(self.bucket.tokens());
        let delay = time_to_earn(missing, self.bucket.rate());
        let can_reserve = delay <= settings.max_reservation_delay
            && millitokens <= self.bucket.capacity()
            && self.reservations.len() < settings.max_reservations;
        if can_reserve {
            self.reservations.add(caller, millitokens, now + delay);
            return Refusal::after(ErrorKind::RateLimited, delay);
        }
        // Too large or too late to reserve here: use the rate of the whole fleet.
        let fleet_delay = time_to_earn(
            missing,
            self.bucket.limit().map_or(0, Limit::rate_millitokens),
        );
        Refusal::after(ErrorKind::RateLimited, delay.min(fleet_delay))
    }

    /// Computes the rights to give to an asker, without subtracting them.
    pub fn offer(
        &self,
        request: &TakeRequest,
        holders: u64,
        settings: &RightsSettings,
        now: Millis,
    ) -> Right {
        let own_demand = self.demand.per_second(now) + self.reservations.per_second(now);
        let asker_demand = request.demand.saturating_mul(MILLITOKENS_PER_TOKEN);
        let tokens = self.tokens_to_give(request.needed, own_demand, asker_demand, settings, now);
        let min_share = FULL_SHARE / holders.max(1) / settings.min_share_divisor.max(1);
        let rate_share = self.rate_share_to_give(own_demand, asker_demand, min_share);
        let is_large = request.needed.saturating_mul(2) >= self.burst();
        let min_kept = match own_demand {
            // A request for most of the burst needs nearly all of the capacity at one holder.
            0 if is_large => 0,
            _ => min_share.max((self.bucket.rate_share() - rate_share) / 2),
        };
        Right {
            account: request.account,
            rate_share,
            burst_share: self.burst_share_to_give(tokens, rate_share, min_kept, request.needed),
            tokens,
        }
    }

    fn max_reserved(&self) -> u64 {
        self.bucket.capacity() / 100 * MAX_RESERVED_PERCENT
    }

    fn tokens_to_give(
        &self,
        needed: u64,
        own_demand: u64,
        asker_demand: u64,
        settings: &RightsSettings,
        now: Millis,
    ) -> u64 {
        let spare = self.spare(settings, now);
        let by_demand = u128::from(spare) * u128::from(asker_demand)
            / u128::from((own_demand + asker_demand).max(1));
        let useful = asker_demand.saturating_mul(MAX_FILL_SECS);
        spare.min(needed.max(useful.min(by_demand as u64)))
    }

    fn rate_share_to_give(
        &self,
        own_demand: u64,
        asker_demand: u64,
        min_share: u64,
    ) -> u64 {
        let rate = self.bucket.limit().map_or(0, |limit| limit.rate);
        let own_share = share_of(
            with_headroom(own_demand),
            rate.saturating_mul(MILLITOKENS_PER_TOKEN),
        );
        let their_share = share_of(
            with_headroom(asker_demand),
            rate.saturating_mul(MILLITOKENS_PER_TOKEN),
        );
        self.bucket
            .rate_share()
            .saturating_sub(own_share)
            .saturating_sub(min_share)
            .min(their_share)
    }

    /// Computes the burst share that goes with the given tokens and rate.
    ///
    /// The giver keeps at least `min_kept`, and enough for its remaining tokens: a bucket that is
    /// too small for its rate overflows.
    fn burst_share_to_give(
        &self,
        tokens: u64,
        rate_share: u64,
        min_kept: u64,
        needed: u64,
    ) -> u64 {
        let burst_share = self.bucket.burst_share();
        let for_tokens = share_of(tokens, self.burst());
        let for_rate = u128::from(burst_share) * u128::from(rate_share)
            / u128::from(self.bucket.rate_share().max(1));
        let for_remaining = share_of(self.bucket.tokens() - tokens, self.burst());
        let for_needed = if min_kept == 0 {
            share_of(needed, self.burst())
        } else {
            0
        };
        let wanted = for_tokens.max(for_rate as u64).max(for_needed);
        wanted.min(burst_share.saturating_sub(min_kept.max(for_remaining)))
    }

    /// The account's fleet-wide burst, in millitokens.
    pub fn burst(&self) -> u64 {
        self.bucket.limit().map_or(0, Limit::burst_millitokens)
    }
}

/// Time to earn `millitokens` at a rate in millitokens per second.
fn time_to_earn(
    millitokens: u64,
    rate: u64,
) -> Millis {
    match rate {
        0 => MAX_RETRY_DELAY,
        rate => Millis(millitokens.saturating_mul(1000).div_ceil(rate)).min(MAX_RETRY_DELAY),
    }
}

fn with_headroom(millitokens: u64) -> u64 {
    millitokens.saturating_mul(HEADROOM_PERCENT) / 100
}

/// Converts `part` of `whole` to a share of [`FULL_SHARE`], rounded up.
fn share_of(
    part: u64,
    whole: u64,
) -> u64 {
    let share = (u128::from(part) << 32).div_ceil(u128::from(whole.max(1)));
    share.min(u128::from(FULL_SHARE)) as u64
}
