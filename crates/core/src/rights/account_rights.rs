use {
    super::{
        MILLI, Right, RightsSettings, SHARE_WHOLE, TakeRequest, bucket::Bucket, demand::Demand,
        peers::PeerHints, promises::Promises,
    },
    crate::clock::Millis,
};

/// Own demand and that of an asker are reckoned with this much on top, in percent.
const HEADROOM_PERCENT: u64 = 125;

/// For how long ahead a giver fills an asker up, in seconds of the asker's demand.
const FILL_SECS: u64 = 2;

/// All that a holder keeps about one account.
#[derive(Clone, Debug, Default)]
pub struct AccountRights {
    /// The part of the account's token bucket.
    pub bucket: Bucket,
    /// What callers have asked for here.
    pub demand: Demand,
    /// Refused callers who were told when to come back.
    pub promises: Promises,
    /// Whom to ask for more.
    pub peers: PeerHints,
    /// Whether this epoch's grant has been added.
    pub granted: bool,
}

impl AccountRights {
    /// Brings tokens and promises up to date.
    pub fn advance(
        &mut self,
        settings: &RightsSettings,
        now: Millis,
    ) {
        self.bucket.refill(now);
        self.promises.expire(now, settings.grace);
    }

    /// Tokens that neither own demand nor promises need soon, in thousandths.
    pub fn spare(
        &self,
        settings: &RightsSettings,
        now: Millis,
    ) -> u64 {
        let soon = self.demand.per_second(now) * settings.keep.0 / 1000;
        self.bucket
            .tokens()
            .saturating_sub(self.promises.reserved())
            .saturating_sub(soon)
    }

    /// What to give an asker; nothing is subtracted yet.
    pub fn offer(
        &self,
        request: &TakeRequest,
        holders: u64,
        settings: &RightsSettings,
        now: Millis,
    ) -> Right {
        let own = self.demand.per_second(now);
        let theirs = request.demand.saturating_mul(MILLI);
        let tokens = self.tokens_for(request.needed, own, theirs, settings, now);
        let floor = SHARE_WHOLE / holders.max(1) / settings.floor_divisor.max(1);
        let rate_share = self.rate_for(own, theirs, floor);
        Right {
            account: request.account,
            rate_share,
            room_share: self.room_for(tokens, rate_share, floor),
            tokens,
        }
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

    /// Tokens need room where they go, and so does what the moved rate will earn; tokens that stay
    /// need theirs.
    fn room_for(
        &self,
        tokens: u64,
        rate_share: u64,
        floor: u64,
    ) -> u64 {
        let burst = self.bucket.limit().map_or(0, super::Limit::burst_milli);
        let room = self.bucket.room_share();
        let for_tokens = share_of(tokens, burst);
        let for_rate =
            u128::from(room) * u128::from(rate_share) / u128::from(self.bucket.rate_share().max(1));
        let staying = share_of(self.bucket.tokens() - tokens, burst);
        for_tokens
            .max(for_rate as u64)
            .min(room.saturating_sub(floor.max(staying)))
    }
}

fn with_headroom(milli: u64) -> u64 {
    milli.saturating_mul(HEADROOM_PERCENT) / 100
}

/// The share of `whole` that `part` is, rounded up.
fn share_of(
    part: u64,
    whole: u64,
) -> u64 {
    let share = (u128::from(part) << 32).div_ceil(u128::from(whole.max(1)));
    share.min(u128::from(SHARE_WHOLE)) as u64
}
