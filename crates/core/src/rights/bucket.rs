use {
    super::{Limit, Right, part_of},
    crate::{clock::Millis, ids::AccountId},
    std::collections::BTreeMap,
};

/// One holder's part of one account's token bucket.
///
/// All amounts are in thousandths of a token. One invariant carries the limit of the fleet: tokens
/// and what refunds may still add are together at most the room.
///
/// Refunds count because a request is charged at admission and settled when it ends, which may be
/// long after. The bucket could have filled up meanwhile, be emptied, and then get the refund on
/// top: more than the burst at once, seen in the engines' record only. A bucket that had charged the
/// true cost from the start would have overflowed, so that part of the refund is void, and it is
/// taken from the oldest charges. Each charge has its own allowance: with one for all together, an
/// old refund that is void could use that of a newer charge.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    limit: Option<Limit>,
    rate_share: u64,
    room_share: u64,
    /// Negative after a request used more than it was charged for.
    tokens: i64,
    /// Part of a thousandth, of 2^32.
    fraction: u64,
    /// The most that the refund of each unsettled charge may still add; those with none left out.
    refundable: BTreeMap<u64, u64>,
    /// Sum of these.
    refundable_sum: u64,
    next_charge: u64,
    filled_at: Millis,
}

impl Bucket {
    /// Sets the account's limit; tokens above a smaller burst are lost.
    pub fn set_limit(
        &mut self,
        limit: Limit,
        now: Millis,
    ) {
        self.refill(now);
        self.limit = Some(limit);
        self.clip();
    }

    /// Adds what the rate share has earned since the last time.
    pub fn refill(
        &mut self,
        now: Millis,
    ) {
        let elapsed = now.since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let rate = self.limit.map_or(0, |limit| limit.rate);
        // A token a second is a thousandth a millisecond.
        let earned = u128::from(elapsed.0) * u128::from(rate) * u128::from(self.rate_share)
            + u128::from(self.fraction);
        self.fraction = u64::from(earned as u32);
        let whole = i64::try_from(earned >> 32).unwrap_or(i64::MAX);
        self.tokens = self.tokens.saturating_add(whole);
        self.clip();
    }

    /// Takes `milli` at admission, if it is there, and returns the charge's number.
    pub fn charge(
        &mut self,
        milli: u64,
    ) -> Option<u64> {
        if self.tokens() < milli {
            return None;
        }
        self.tokens -= milli as i64;
        self.next_charge += 1;
        self.refundable.insert(self.next_charge, milli);
        self.refundable_sum += milli;
        Some(self.next_charge)
    }

    /// Replaces a charge by the actual cost.
    ///
    /// What was charged too little becomes debt; what was charged too much comes back.
    pub fn settle(
        &mut self,
        charge: u64,
        charged: u64,
        actual: u64,
    ) {
        let refundable = self.refundable.remove(&charge).unwrap_or(0);
        self.refundable_sum -= refundable;
        let refund = charged.saturating_sub(actual).min(refundable);
        let debt = actual.saturating_sub(charged);
        self.tokens = self
            .tokens
            .saturating_add_unsigned(refund)
            .saturating_sub_unsigned(debt);
        self.clip();
    }

    /// Adds a right that came from a peer or with an epoch.
    pub fn add(
        &mut self,
        right: &Right,
    ) {
        self.rate_share += right.rate_share;
        self.room_share += right.room_share;
        self.tokens = self.tokens.saturating_add_unsigned(right.tokens);
        self.clip();
    }

    /// Takes a right out; each part is cut down to what is there.
    pub fn take(
        &mut self,
        wanted: &Right,
    ) -> Right {
        let taken = Right {
            account: wanted.account,
            rate_share: wanted.rate_share.min(self.rate_share),
            room_share: wanted.room_share.min(self.room_share),
            tokens: wanted.tokens.min(self.tokens()),
        };
        self.rate_share -= taken.rate_share;
        self.room_share -= taken.room_share;
        self.tokens -= taken.tokens as i64;
        self.clip();
        taken
    }

    /// Everything held, as a right.
    pub fn held(
        &self,
        account: AccountId,
    ) -> Right {
        Right {
            account,
            rate_share: self.rate_share,
            room_share: self.room_share,
            tokens: self.tokens(),
        }
    }

    /// The account's limit, if the configuration in force here has one.
    pub const fn limit(&self) -> Option<Limit> {
        self.limit
    }

    /// Tokens that may be used now.
    pub const fn tokens(&self) -> u64 {
        if self.tokens > 0 {
            self.tokens as u64
        } else {
            0
        }
    }

    /// Tokens owed by requests that used more than they were charged for.
    pub const fn debt(&self) -> u64 {
        if self.tokens < 0 {
            self.tokens.unsigned_abs()
        } else {
            0
        }
    }

    /// The most that this bucket holds.
    pub fn room(&self) -> u64 {
        part_of(self.limit.map_or(0, Limit::burst_milli), self.room_share)
    }

    /// What is earned in a second.
    pub fn rate(&self) -> u64 {
        let rate = self
            .limit
            .map_or(0, |limit| limit.rate.saturating_mul(super::MILLI));
        part_of(rate, self.rate_share)
    }

    /// The share of the rate, of [`super::SHARE_WHOLE`].
    pub const fn rate_share(&self) -> u64 {
        self.rate_share
    }

    /// The share of the burst, of [`super::SHARE_WHOLE`].
    pub const fn room_share(&self) -> u64 {
        self.room_share
    }

    fn clip(&mut self) {
        // Without a limit the size of the room is unknown; it is clipped once the limit comes.
        if self.limit.is_none() {
            return;
        }
        let room = i64::try_from(self.room()).unwrap_or(i64::MAX);
        if self.tokens >= room {
            self.tokens = room;
            self.fraction = 0;
        }
        self.void_refunds(room.abs_diff(self.tokens));
    }

    /// Cuts what refunds may add down to `most`, the oldest first.
    fn void_refunds(
        &mut self,
        most: u64,
    ) {
        while self.refundable_sum > most
            && let Some(mut oldest) = self.refundable.first_entry()
        {
            let excess = self.refundable_sum - most;
            let void = excess.min(*oldest.get());
            *oldest.get_mut() -= void;
            self.refundable_sum -= void;
            if *oldest.get() == 0 {
                oldest.remove();
            }
        }
    }
}
